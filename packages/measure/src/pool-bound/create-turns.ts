import {createBurst} from '@rosemaryquay/testing/jobs/create-burst';
import {type PoolJobs} from './turns.js';

/** Demand of a pool relative to its mean during its turn. */
const burstFactor = 4.5;

/** Outside of the turn of a pool, one job in this many is left, which is a twentieth of its mean. */
const quietInterval = 90;

/** Length of a turn in milliseconds. */
const turnMs = 5000;

/** Pools as in `docs/design/hard-load.md`, a third of their size. */
const pools = [
	{
		pool: 'quick-a', initialInstances: 15, jobsPerSecond: 4, steps: 1.6, taskMs: 1000, cpuMillis: 1500,
	},
	{
		pool: 'large-a', initialInstances: 16, jobsPerSecond: 0.75, steps: 2, taskMs: 2100, cpuMillis: 3300,
	},
	{
		pool: 'quick-b', initialInstances: 18, jobsPerSecond: 4, steps: 1.6, taskMs: 1000, cpuMillis: 1500,
	},
	{
		pool: 'large-b', initialInstances: 20, jobsPerSecond: 0.75, steps: 2, taskMs: 2100, cpuMillis: 3300,
	},
];

/**
 * Creates the jobs of pools whose demand rises to several times its mean in turn, with their true run times.
 *
 * @param options - seed and length of the load in milliseconds
 * @returns the jobs of each pool
 * @example
 * createTurns({seed: 1, durationMs: 34_000});
 */
export function createTurns({seed, durationMs}: {seed: number; durationMs: number}): PoolJobs[] {
	return pools.map(({pool, initialInstances, ...load}, position) => {
		const jobs = createBurst({
			seed: (seed * pools.length) + position,
			load: {...load, tasks: 8},
			durationMs,
			name: `${pool}-`,
			hasTrueObjective: true,
			rate: () => burstFactor,
		}).filter(({job}, index) => Math.floor(job.acceptedAtMs / turnMs) % pools.length === position || index % quietInterval === 0);
		return {
			pool, initialInstances, jobs: jobs.map(({job, ...rest}) => ({...rest, job: {...job, queue: pool, service: pool}})),
		};
	});
}
