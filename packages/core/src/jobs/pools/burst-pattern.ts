/** Latest burst of a pool. Times are local times in milliseconds, `peak` is in thousandths of a core. */
export type Burst = {isActive: boolean; startedAt: number; endedAt: number; peak: number};

/** Bursts of the pools, in turn. A takeover keeps what the stored summary of the estimates contains. */
export type BurstPattern = {
	/** Latest burst of each pool that has had one. */
	readonly pools: Map<string, Burst>;
	/** Times between the starts of successive bursts, of whichever pools, in milliseconds. */
	readonly intervals: number[];
	lastStartedAt: number | undefined;
	/** Bursts in a row that began on an expected pool; negative after one that did not, until as many have as there are pools. */
	streak: number;
};
