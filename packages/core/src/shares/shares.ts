/**
 * State of the queued tasks and of the fair shares in one node.
 */
import {type WorkClass} from '../catalogue/schema.js';
import {type Task} from '../node/node.js';

/** A flow of start-time fair queueing: the queued tasks of one team and class, in order of start. */
export type Flow = {
	readonly team: string;
	readonly class: WorkClass;
	readonly tasks: Task[];
	/** Finish tag of the last started task, in milliseconds of run time per unit of weight. */
	finishTag: number;
	/** When a task of the flow last started at this node. */
	startedAt: number;
};

/** Tasks, share and credit of one team in one pool at this node. */
export type Account = {
	/** Running tasks of this node. */
	running: number;
	/** Those of `running` that are urgent. */
	runningUrgent: number;
	/** Queued tasks of this node. */
	queued: number;
	/** This node's part of the team's share while the pool is saturated, in slots; fractional. */
	localShare: number;
	/** Part of `localShare` that is for urgent work. */
	localUrgentShare: number;
	/** Whether the urgent demand of the team in the whole fleet is within its share. */
	urgentWithinShare: boolean;
	/** Slot time, in milliseconds, that the team has used less than its local share while the pool was saturated; negative, a debt, when it has used more. */
	credit: number;
};

/** Queues and shares of one pool. */
export type PoolShares = {
	readonly flows: Map<string, Flow>;
	readonly accounts: Map<string, Account>;
	virtualTime: number;
	/** When the shares were last computed. */
	refreshedAt: number;
	/** Whether the demand of the whole fleet reaches the capacity of the pool. */
	saturated: boolean;
	/** Usable slots of the pool; a withdrawn availability zone counts for none. */
	capacity: number;
	/** Slots that bulk tasks leave free; none in a pool without an urgent queue. */
	reservedSlots: number;
	/** Running tasks of the other members, from their summaries. */
	remoteRunning: number;
};

/** Mean run time of the tasks of one queue, from finished tasks. */
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
