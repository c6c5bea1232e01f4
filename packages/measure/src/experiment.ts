/**
 * Types of an experiment and of the result that it reports.
 */

/** A measure with its target; `holds` tells whether the value meets it. */
export type Bound = {
	readonly measure: string;
	readonly unit: string;
	readonly target: string;
	readonly value: number;
	readonly holds: boolean;
};

/** Value of the same measure for an earlier version or a simpler method, for comparison. */
export type Baseline = {
	readonly name: string;
	readonly measure: string;
	readonly unit: string;
	readonly value: number;
};

export type Result = {
	readonly bounds: readonly Bound[];
	readonly baselines: readonly Baseline[];
	/** Further figures, which no target applies to. */
	readonly details?: unknown;
	/** SVG document with a plot of the result. */
	readonly plot?: string;
};

export type Experiment = {
	readonly summary: string;
	run(options: {seed: number}): Promise<Result> | Result;
};
