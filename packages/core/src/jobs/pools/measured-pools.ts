/** Instance that may move now. */
export type MovableInstance = {readonly id: string; readonly cpuMillis: number; readonly idleMs: number};

/** Pool as the plan sees it; amounts in thousandths of a core. */
export type MeasuredPool = {
	readonly name: string;
	/** Priority of its most urgent queue; 0 comes first. */
	readonly priority: number;
	readonly size: number;
	readonly capacity: number;
	/** Number and capacity of instances that are moving to it. */
	readonly incoming: {readonly count: number; readonly cpuMillis: number};
	/** What its jobs need, and the part that jobs need which can still meet their objective. */
	readonly need: number;
	readonly timelyNeed: number;
	/** Long-running tasks wait for an instance, whatever the capacity. */
	readonly isBlocked: boolean;
	/** Number of instances that stay while it is quiet, and number up to which it is filled ahead of a burst. */
	readonly kept: number;
	readonly prepared: number;
	/** Capacity that pools of less urgent queues leave for the start of its next burst. */
	readonly heldBack: number;
	/** It may use that capacity as well: it has no burst, or one that has lasted too long for a turn. */
	readonly ignoresHeldBack: boolean;
	/** Time after which an idle instance returns to the spare pool, and time after which it may move to another pool. */
	readonly returnMs: number;
	readonly directMoveMs: number;
	/** Its instances without tasks. */
	readonly idle: readonly MovableInstance[];
};

/** Load of all pools that are not spare, and the instances in the spare pool. */
export type MeasuredPools = {readonly pools: readonly MeasuredPool[]; readonly spare: readonly MovableInstance[]; readonly sparePool: string};

/** Moves to request now, and what the timely jobs of each pool still lack after them, in thousandths of a core. */
export type PoolPlan = {readonly moves: ReadonlyArray<{readonly instance: string; readonly pool: string}>; readonly timelyShortages: ReadonlyMap<string, number>};
