/** Waits of a job for capacity near its data. Kept in memory: after a takeover, a wait begins again. */
export type DataWait = {
	/** Local time at which the present wait began; undefined while the job does not wait. */
	startedAt: number | undefined;
	/** Total of the ended waits in milliseconds. */
	waitedMs: number;
	/** Part of `waitedMs` that has been logged. */
	loggedMs: number;
};
