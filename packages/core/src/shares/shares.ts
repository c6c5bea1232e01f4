/**
 * State of the waiting tasks and of the fair shares in one node.
 */
import {type WorkClass} from '../catalogue/schema.js';
import {type Task} from '../node/node.js';

/** Waiting tasks of one team and class, in order of start. */
export type Flow = {
	readonly team: string;
	readonly class: WorkClass;
	readonly tasks: Task[];
	/** Finish tag of start-time fair queueing, in milliseconds of run time per weight. */
	finishTag: number;
	/** When a task of the flow last started here. */
	startedAt: number;
};

/** Slots of one team in one pool at this node. */
export type Account = {
	/** Running tasks of this node. */
	running: number;
	/** Those of `running` that are urgent. */
	urgent: number;
	/** Waiting tasks of this node. */
	queued: number;
	/** Slots that this node may use for the team while the pool is full; a fraction. */
	part: number;
	/** Those of `part` that are for urgent work. */
	urgentPart: number;
	/** Whether the urgent demand of the team in the whole fleet is within its share. */
	urgentWithin: boolean;
	/** Slot-milliseconds below (positive) or above (negative) the part while the pool was full. */
	credit: number;
};

/** Queues and shares of one pool. */
export type PoolShares = {
	readonly flows: Map<string, Flow>;
	readonly accounts: Map<string, Account>;
	virtualTime: number;
	/** When the parts were last computed. */
	plannedAt: number;
	/** Whether the demand of the whole fleet reaches the capacity of the pool. */
	full: boolean;
	/** Slots of the pool, without withdrawn availability zones. */
	capacity: number;
	/** Slots that bulk tasks leave free; none in a pool without an urgent queue. */
	reserve: number;
	/** Running tasks of the other members, from their summaries. */
	runningElsewhere: number;
};

/** Run time of the requests of one queue, learned from finished tasks. */
export type RunTime = {
	meanMs: number;
	observations: number;
};

/** Whether an availability zone is withdrawn, and since when. */
export type ZoneChange = {
	readonly withdrawn: boolean;
	readonly changedAt: number;
};

export type Shares = {
	readonly pools: Map<string, PoolShares>;
	readonly runTimes: Map<string, RunTime>;
	readonly zones: Map<string, ZoneChange>;
};
