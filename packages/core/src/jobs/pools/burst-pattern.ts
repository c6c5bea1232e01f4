/** Latest burst of a pool. Times are local times in milliseconds, `peak` and `height` are in thousandths of a core: the highest demand, and the highest smoothed one, which single jobs hardly change; `step` is the demand that was served at once at its start. */
export type Burst = {isActive: boolean; startedAt: number; endedAt: number; peak: number; height: number; step: number};

/** Jobs of a pool: moving means of their critical path and of the time that they may wait, in milliseconds, and of their work, in thousandths of a core times milliseconds; and their arrivals outside of bursts in a time in milliseconds, both with fading memory. */
export type ArrivalProfile = {criticalPathMs: number; slackMs: number; work: number; quietArrivals: number; quietMs: number; measuredAt: number};

/** Bursts of the pools, in turn. A takeover keeps what the stored summary of the estimates contains. */
export type BurstPattern = {
	/** Latest burst of each pool that has had one. */
	readonly pools: Map<string, Burst>;
	/** Jobs of each pool that has had any. */
	readonly profiles: Map<string, ArrivalProfile>;
	/** Times between the starts of successive bursts, of whichever pools, in milliseconds. */
	readonly intervals: number[];
	lastStartedAt: number | undefined;
	/** Bursts in a row that began on an expected pool; negative after one that did not, until as many have as there are pools. */
	streak: number;
};
