/**
 * State of the workers in one node.
 */
import {type ListedInstance} from '../node/event.js';

/** State of outlier detection. `ejected`: the worker gets no tasks until `ejectedUntil`, then one probe at a time. */
export type Health = 'healthy' | 'ejected';

/** An upstream instance of a pool that runs tasks, as this node sees it. */
export type Worker = {
	instance: ListedInstance;
	/** Slots in use by tasks of this node. */
	running: number;
	/** Slots in use by all nodes, from the worker's last report. */
	reportedRunning: number;
	/** When the report arrived, and the slots in use by this node then. */
	reportedAt: number;
	runningAtReport: number;
	/** Exponential moving average of the rate of failed attempts, 0 to 1. */
	failureRate: number;
	health: Health;
	ejectedUntil: number;
	/** Consecutive ejections; each doubles the time to the first probe. */
	ejections: number;
	probesPassed: number;
	/** When the worker was reinstated after it passed its probes; from then its usable slots ramp up (slow start). */
	reinstatedAt: number;
	/** When the worker last said that it is leaving. */
	leavingAt: number;
	/** When the worker last rejected a task for lack of a free slot. */
	fullAt: number;
};

/** Workers of one pool that this node sends tasks to. */
export type Subset = {
	/** Workers in the node's own availability zone. */
	readonly own: Worker[];
	/** Workers in other availability zones. */
	readonly other: Worker[];
};

export type Placement = {
	readonly workers: Map<string, Worker>;
	/** Identifiers of the workers of each pool. */
	readonly byPool: Map<string, string[]>;
	readonly subsets: Map<string, Subset>;
	/** All members, sorted, for which the subsets were chosen. */
	members: readonly string[];
	/** Ejected workers by pool; the one whose ejection period began last comes last. */
	readonly ejected: Map<string, Set<Worker>>;
};
