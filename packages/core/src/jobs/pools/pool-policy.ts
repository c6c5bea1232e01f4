/** Rules by which instances are planned. The former rules stay available, so that a simulation can compare both on the same load. */
export type PoolPolicy = {
	/** Time after which an idle instance returns to the spare pool unless more work is forecast. */
	readonly idleReturnMs: number;
	/** The same time for a pool whose burst is over. */
	readonly endedIdleReturnMs: number;
	/** Time after which an idle instance may move directly to another pool; shorter than `idleReturnMs`, since one move then replaces two and neither pool waits for the second. */
	readonly directMoveIdleMs: number;
	/** Minimum size of each pool, as a fraction of an equal share of all instances. */
	readonly retainedPoolFraction: number;
	/** Pools whose burst is over keep fewer instances until they are expected to be next. */
	readonly learnsBursts: boolean;
	/** Minimum size of a pool that is not expected to be next, as a fraction of an equal share of all instances. */
	readonly reducedPoolFraction: number;
	/** Part of the height of its last burst for which the next pool is prepared, if the time of the burst is predicted. */
	readonly preparedPeakFraction: number;
	/** Pools keep what the start of a burst of learned height needs, get it at once when their arrivals show the start, and their forecast does not exceed it. */
	readonly learnsShape: boolean;
};

/** Rules before bursts were learned: each pool retains the same number of instances. */
export const formerPoolPolicy: PoolPolicy = {
	idleReturnMs: 1000, endedIdleReturnMs: 1000, directMoveIdleMs: 500, retainedPoolFraction: 0.35, learnsBursts: false, reducedPoolFraction: 0.35, preparedPeakFraction: 0, learnsShape: false,
};

/** Rules that learn the order of bursts, before their shape was learned. */
export const orderedPoolPolicy: PoolPolicy = {
	...formerPoolPolicy, endedIdleReturnMs: 400, learnsBursts: true, reducedPoolFraction: 0.1, preparedPeakFraction: 0.5,
};

/** Rules in force. */
export const defaultPoolPolicy: PoolPolicy = {
	...orderedPoolPolicy, learnsShape: true,
};
