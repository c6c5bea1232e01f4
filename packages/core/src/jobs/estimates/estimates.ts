import {type Task} from '../state/scheduler.js';
import {type SketchNames} from './name-sketches.js';

/** Samples of a quantity in log space: the latest ones, with their median and a robust standard deviation. */
export type Sketch = {
	readonly values: number[];
	/** Position that the next sample replaces once the sketch is full. */
	next: number;
	median: number;
	/** Standard deviation of a normal distribution with the same median absolute deviation. */
	spread: number;
	/** Value of `Estimates.version` when the median or the spread last changed noticeably. */
	version: number;
};

/** Relative speed of an instance. It outlives the incarnations of the worker on it. */
export type InstanceSpeed = {
	/** Evidence for slowness from the runs of the present incarnation, as a log-likelihood ratio that does not fall below 0. */
	evidence: number;
	/** Local time at which the evidence first exceeded its threshold; undefined while it does not. */
	suspectedAt: number | undefined;
	/** Run times by those of peers for the latest runs that were judged as slow, in log space. */
	readonly ratios: number[];
	/** Local time of the last judgement, and its ratio of run time to that of peers, in log space. */
	judgedAt: number;
	ratio: number;
	/** Ratio of run time to what was learned of other steps at the last judgement, in log space; undefined if unknown. */
	drift: number | undefined;
	/** The instance is known to be slow. */
	isSlow: boolean;
	/** Tasks that it may have while it is slow. */
	allowance: number;
	/** Local time before which it gets no task while it is slow. */
	pausedUntil: number;
	/** Local time at which it was last known to be slow. */
	slowAt: number;
};

/** What the owner has learned from ended runs. It improves decisions and may be lost at any time. */
export type Estimates = {
	/** Learned quantities by name, the least recently learned first. */
	readonly sketches: Map<string, Sketch>;
	/** Largest number of sketches; 0 to learn nothing. */
	maximumSketches: number;
	/** Ratio of far to near run time in the settings; the prior of the learned one. 1 if distance does not matter. */
	farRatio: number;
	/** Changes whenever an estimate may change. */
	version: number;
	/** Absolute errors of the estimates of steps before any of their tasks had ended, in log space. */
	readonly errors: Sketch;
	/** The same errors of the estimates that callers sent. */
	readonly callerErrors: Sketch;
	/** By instance, or by worker if its instance is unknown. */
	readonly speeds: Map<string, InstanceSpeed>;
	/** Something was learned since the summary was last written. */
	isDirty: boolean;
	summaryDueAt: number;
};

/** Run times of the tasks of a step, in log space. */
export type StepRunTimes = {
	readonly names: SketchNames;
	readonly ended: Array<{readonly worker: string; readonly value: number}>;
	/** Projected run times of running tasks, by their progress. */
	readonly projected: Map<Task, number>;
	/** Error of the caller's estimate, in log space; undefined until enough tasks have ended. */
	error: number | undefined;
	isLearned: boolean;
	/** Cached estimate in milliseconds, and the version of the estimates at which it was valid. */
	estimate: {readonly value: number; readonly stamp: number; checkedAtVersion: number} | undefined;
};

/** Measurement of the present run of a task; absent unless its start is known well enough. */
export type RunMeasurement = {
	readonly startedAt: number;
	/** Begin of the present interval in which progress is measured. */
	anchorAt: number;
	anchorPercent: number;
	/** The run has been judged as slow. */
	isSlow: boolean;
};
