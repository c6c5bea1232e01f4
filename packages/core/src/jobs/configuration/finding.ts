/** Path of a value in a configuration: names of fields and positions in lists. */
export type Path = ReadonlyArray<string | number>;

/** Something that a check of a configuration has found. `error`: it must not be sent. `warning`: it is valid, but an entry has no effect or limits contradict each other. */
export type Finding = {readonly level: 'error' | 'warning'; readonly path: Path; readonly problem: string};
