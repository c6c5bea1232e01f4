export type FaultKind =
	| 'connection-delayed' | 'connection-reset' | 'connection-silent' | 'connection-silent-one-way'
	| 'process-killed' | 'process-paused' | 'process-stopped' | 'settings-reloaded' | 'worker-killed' | 'worker-paused'
	| 'store-refuses' | 'store-refuses-writes' | 'store-silent' | 'store-loses-answers' | 'store-answers-late' | 'store-loses-history'
	| 'configuration-changed' | 'key-withdrawn' | 'organisation-overloads';

/** A fault of the schedule. Times are in milliseconds since the start of the run. */
export type Fault = {
	/** Number by which `--only` selects it. */
	readonly number: number;
	readonly kind: FaultKind;
	/** Connection, process or organisation; the store and the configuration have one each. */
	readonly target: string;
	readonly atMs: number;
	readonly durationMs: number;
};

/** Names of what the faults of a schedule may hit. */
export type FaultTargets = {
	readonly processes: readonly string[];
	readonly workers: readonly string[];
	readonly connections: readonly string[];
};
