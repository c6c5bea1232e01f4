import {estimateCriticalPath} from '../estimates/estimate-critical-path.js';
import {estimateWork} from '../estimates/estimate-work.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {type ArrivalProfile} from './burst-pattern.js';

/** Weight of a job in the moving means; about the last eight jobs count. */
const jobWeight = 1 / 8;

/** Time constant in milliseconds of the quiet rate; several turns of bursts, so that a turn of the other pools does not erase it. */
const quietMemoryMs = 30_000;

/** A step takes as long as its slowest task; with 1.35 instead of 1.5, pools of large jobs kept too little in simulations and lost the first jobs of a burst. */
const slowestTaskFactor = 1.5;

/**
 * Learns from the jobs that have arrived on a pool since the last call how long they take and may wait, and how often they
 * arrive outside of bursts.
 *
 * @param scheduler - the state; its burst pattern is changed
 * @param pool - name of the pool
 * @param measured - the jobs that arrived since the last call and the local time in milliseconds
 * @returns the profile, undefined before the first job
 * @example
 * learnArrivals(scheduler, 'planner', {jobs, now});
 */
export function learnArrivals(scheduler: Scheduler, pool: string, {jobs, now}: {jobs: readonly ActiveJob[]; now: number}): ArrivalProfile | undefined {
	const {profiles, pools} = scheduler.burstPattern;
	let profile = profiles.get(pool);
	for (const job of jobs) {
		const {stretch, targetLatencyMs} = findQueuePolicy(scheduler, job);
		const criticalPathMs = estimateCriticalPath(scheduler, job);
		const slackMs = (stretch * criticalPathMs) + targetLatencyMs - (criticalPathMs * slowestTaskFactor);
		const work = estimateWork(scheduler, job);
		if (profile === undefined) {
			profile = {
				criticalPathMs, slackMs, work, quietArrivals: 0, quietMs: 0, measuredAt: now,
			};
			profiles.set(pool, profile);
		}

		profile.criticalPathMs += (criticalPathMs - profile.criticalPathMs) * jobWeight;
		profile.slackMs += (slackMs - profile.slackMs) * jobWeight;
		profile.work += (work - profile.work) * jobWeight;
	}

	if (profile !== undefined && !pools.get(pool)?.isActive) {
		const elapsed = Math.max(0, now - profile.measuredAt);
		const weight = Math.exp(-elapsed / quietMemoryMs);
		profile.quietArrivals = (profile.quietArrivals * weight) + jobs.length;
		profile.quietMs = (profile.quietMs * weight) + elapsed;
	}

	if (profile !== undefined) {
		profile.measuredAt = now;
	}

	return profile;
}
