import {type SimulatedJob} from './order-simulation.js';

/**
 * Adds up the true run times of a job, times its cores.
 *
 * @param simulated - the job
 * @returns thousandths of a core times milliseconds
 * @example
 * measureTrueWork(simulated);
 */
export function measureTrueWork({job, durationsMs}: SimulatedJob): number {
	let work = 0;
	for (const [position, {cpuMillis}] of job.steps.entries()) {
		for (const durationMs of durationsMs[position] ?? []) {
			work += cpuMillis * durationMs;
		}
	}

	return work;
}
