import {type PoolLoad} from '../state/scheduler.js';

/**
 * Measures what a pool needs for its long-running tasks and for the jobs that can still meet their latency objective.
 *
 * @param pool - load of the pool
 * @returns thousandths of a core
 * @example
 * measureTimelyNeed(pool) > pool.capacity;
 */
export function measureTimelyNeed({used, usedByLateJobs, backlog, backlogOfLateJobs, demand}: PoolLoad): number {
	return Math.max((used - usedByLateJobs) + (backlog - backlogOfLateJobs), demand.forecast);
}
