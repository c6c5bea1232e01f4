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
	readonly measuredAt: number;
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
	/** Rating at the last decision on the order; 1 for a long-running job. */
	rating: number;
};
