/**
 * What an experiment is and what it prints.
 */

/** A measure with its target; `holds` tells whether the value meets it. */
export type Bound = {
	readonly measure: string;
	readonly unit: string;
	readonly target: string;
	readonly value: number;
	readonly holds: boolean;
};

/** The same measure of an earlier version or a simpler method. */
export type Baseline = {
	readonly name: string;
	readonly measure: string;
	readonly unit: string;
	readonly value: number;
};

export type Result = {
	readonly bounds: readonly Bound[];
	readonly baselines: readonly Baseline[];
	/** Further figures, for reading only. */
	readonly details?: unknown;
};

export type Experiment = {
	readonly summary: string;
	run(options: {seed: number}): Promise<Result> | Result;
};
