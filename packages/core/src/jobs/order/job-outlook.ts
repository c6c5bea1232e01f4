import {type Configuration, type Resources} from '../state/configuration-schema.js';
import {type ActiveJob} from '../state/scheduler.js';

/** What decides the place of a job in the order of placement. Valid until the tasks of the job or the configuration change. */
export type JobOutlook = {
	readonly job: ActiveJob;
	readonly organisation: string;
	/** Local time from which the objective counts: acceptance, or the due time of the current occurrence of a scheduled job. */
	readonly dueAt: number;
	/** Number of changes to the job when this was measured. */
	readonly changes: number;
	readonly configuration: Configuration;
	measuredAt: number;
	/** Estimated run times of the steps in milliseconds. */
	readonly durations: readonly number[];
	/** Mean work of the queue, in thousandths of a core times milliseconds. */
	readonly meanWork: number;
	readonly service: string;
	readonly priority: number;
	readonly isLongRunning: boolean;
	/** Latency objective, in milliseconds from `dueAt`. */
	readonly objectiveMs: number;
	/** Critical path through the steps with work left, in milliseconds. */
	readonly remainingMs: number;
	/** Value of the job to its caller if it is done within its objective; 1 for a job with the mean work of its queue. */
	readonly value: number;
	/** Work of the tasks that are not assigned to a worker, in thousandths of a core times milliseconds. */
	readonly waitingWork: number;
	/** Resources of the tasks that are ready and not assigned to a worker. */
	readonly waiting: Resources;
	/** Rating at the last decision on the order; 1 for a long-running job, NaN before the first decision. */
	rating: number;
	/** Class of the rating; ratings of one class count as equal. */
	ratingClass: number;
	/** Position of the job in the list of waiting jobs at the last decision. */
	position: number;
	/** Number of the last decision on the order that the outlook took part in; -1 before the first. */
	decision: number;
	/** Number of the last decision at which the job had to be sorted anew. */
	changedAtDecision: number;
};
