import {measureTrueWork} from './measure-true-work.js';
import {type SimulatedJob} from './order-simulation.js';

export type Outcomes = {jobs: number; timely: number; late: number; useless: number; worth: number};

/** Worth of a late answer relative to one within the objective. */
const lateWorth = 0.2;

/**
 * Counts the jobs that were done within their objective, those that were late, and those that took more than three times their objective.
 *
 * @param jobs - the jobs
 * @param latencies - latency in milliseconds by id
 * @param meanWork - mean work of the queue, in thousandths of a core times milliseconds
 * @returns counts, and the mean worth of a job relative to the worth of all of them within their objective
 * @example
 * countOutcomes(jobs, simulation.latencies, meanWork).timely;
 */
export function countOutcomes(jobs: readonly SimulatedJob[], latencies: ReadonlyMap<string, number>, meanWork: number): Outcomes {
	const outcomes = {
		jobs: jobs.length, timely: 0, late: 0, useless: 0, worth: 0,
	};
	let owed = 0;
	for (const simulated of jobs) {
		const latency = latencies.get(simulated.job.id) ?? Number.POSITIVE_INFINITY;
		const worth = 0.3 + (0.7 * measureTrueWork(simulated) / meanWork);
		owed += worth;
		if (latency <= simulated.objectiveMs) {
			outcomes.timely++;
			outcomes.worth += worth;
		} else if (latency <= 3 * simulated.objectiveMs) {
			outcomes.late++;
			outcomes.worth += lateWorth * worth;
		} else {
			outcomes.useless++;
		}
	}

	outcomes.worth /= owed;
	return outcomes;
}
