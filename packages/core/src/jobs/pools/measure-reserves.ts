import {type Scheduler} from '../state/scheduler.js';
import {estimateBurstHeight} from './estimate-burst-height.js';
import {predictNextStart} from './predict-next-start.js';

/** Time from the request of a move to the first task on the instance: 1.5 s for the move, the rest for its request and its registration. */
const moveLeadMs = 1900;

/** Time from the start of a burst until its arrivals show it. */
const detectionMs = 300;

/** Part of the equal minimum that a pool without urgent queues keeps before its first job has shown how long its jobs may wait. */
const unknownBatchFraction = 0.5;

/** Repeated bursts that must have followed the order of the pools before a pool keeps fewer instances; a burst on a pool with few instances costs its callers a move. */
const minimumConfirmations = 1;

/** Time after the predicted start of a burst for which its pool is kept ready; a burst that is later has not followed the pattern. */
const overdueMs = 1500;

/** Instances of a pool while its demand is low. */
export type Reserve = {
	/** Number of instances that stay. */
	kept: number;
	/** Number of instances to which the pool is filled up ahead of a burst. */
	prepared: number;
	/** A burst on the pool would follow the pattern. */
	isExpected: boolean;
	/** Demand above which the pool has a burst, in thousandths of a core. */
	threshold: number;
	/** Expected height of its next burst in thousandths of a core, at most an equal share of all instances; 0 as long as no job has arrived. */
	nextHeight: number;
};

/**
 * Determines how many instances each pool keeps while its demand is low, so that they serve the start of its next burst
 * until moved instances arrive. A pool whose burst is over keeps few of them until it is expected to be next, that is until
 * all other pools with bursts have had theirs since. If bursts have come at regular intervals, the next pool is prepared for
 * the height of its last burst shortly before the predicted time.
 *
 * @param scheduler - the state
 * @param pools - names of the pools that are not spare
 * @param now - local time in milliseconds
 * @returns the reserve of each pool by its name
 * @example
 * measureReserves(scheduler, ['planner'], now).get('planner')?.kept;
 */
export function measureReserves(scheduler: Scheduler, pools: readonly string[], now: number): Map<string, Reserve> {
	const {poolPolicy, burstPattern, instances} = scheduler;
	const share = instances.size / Math.max(1, pools.length);
	const full = Math.max(1, Math.round(share * poolPolicy.retainedPoolFraction));
	const reduced = Math.max(1, Math.round(share * poolPolicy.reducedPoolFraction));
	const candidates = listNextPools(scheduler, pools);
	const isConfirmed = burstPattern.streak >= minimumConfirmations;
	const next = predictNextStart(burstPattern);
	const isDue = next !== undefined && now > next.at - moveLeadMs - next.errorMs && now < next.at + overdueMs + next.errorMs;
	const cpuMillis = Math.max(1, instances.values().next().value?.capacity.cpuMillis ?? 1);
	const reserves = new Map<string, Reserve>();
	for (const pool of pools) {
		const burst = burstPattern.pools.get(pool);
		const isExpected = burst === undefined || burst.isActive || candidates.has(pool);
		const isReduced = poolPolicy.learnsBursts && isConfirmed && !isExpected;
		const isRefilled = poolPolicy.learnsBursts && burst?.isActive === false && !isReduced;
		const isPrepared = isRefilled && isConfirmed && isExpected && isDue;
		const kept = isReduced ? reduced : getStartReserve(scheduler, pool, {full, reduced, cpuMillis});
		const peak = isPrepared ? Math.round(burst.peak * poolPolicy.preparedPeakFraction / cpuMillis) : 0;
		reserves.set(pool, {
			kept: Math.max(kept, peak), prepared: isRefilled ? Math.max(poolPolicy.learnsShape ? kept : full, peak) : 0, isExpected, threshold: full * cpuMillis, nextHeight: burstPattern.profiles.has(pool) ? Math.min(share * cpuMillis, estimateBurstHeight(burstPattern, pool) ?? Number.POSITIVE_INFINITY) : 0,
		});
	}

	return reserves;
}

/** Number of instances that a pool keeps for the start of its next burst; at most the equal minimum. */
function getStartReserve(scheduler: Scheduler, pool: string, {full, reduced, cpuMillis}: {full: number; reduced: number; cpuMillis: number}): number {
	if (!scheduler.poolPolicy.learnsShape) {
		return full;
	}

	const needed = measureStartNeed(scheduler, pool, full * cpuMillis);
	return Math.min(full, Math.max(reduced, Math.ceil(needed / cpuMillis)));
}

/** Thousandths of a core that the jobs at the start of a burst need before moved instances arrive, because they cannot wait until then. */
function measureStartNeed({burstPattern, configuration}: Scheduler, pool: string, equalMinimum: number): number {
	const profile = burstPattern.profiles.get(pool);
	if (profile === undefined) {
		const lowest = Math.min(...configuration.queues.map(({priority}) => priority));
		const queues = configuration.queues.filter(({service}) => service === pool);
		return equalMinimum * (queues.length > 0 && queues.every(({priority}) => priority > lowest) ? unknownBatchFraction : 1);
	}

	const height = estimateBurstHeight(burstPattern, pool);
	if (height === undefined) {
		return equalMinimum;
	}

	const exposedMs = Math.max(0, detectionMs + moveLeadMs - profile.slackMs);
	const {criticalPathMs, work} = profile;
	return Math.max(work / Math.max(1, criticalPathMs), height * Math.min(1, exposedMs / Math.max(1, criticalPathMs)));
}

/** The quiet pool whose last burst began longest ago. Pools without bursts do not count, since a pool may run only long-running tasks. */
function listNextPools({burstPattern}: Scheduler, pools: readonly string[]): Set<string> {
	const quiet = pools.filter(pool => burstPattern.pools.get(pool)?.isActive === false);
	const [first] = quiet.toSorted((left, right) => (burstPattern.pools.get(left)?.startedAt ?? 0) - (burstPattern.pools.get(right)?.startedAt ?? 0));
	return new Set(first === undefined ? [] : [first]);
}
