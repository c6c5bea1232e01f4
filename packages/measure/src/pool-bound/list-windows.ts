import {lateObjectiveMultiple} from '@rosemaryquay/core/jobs/state/constants';
import {type SimulatedJob} from '@rosemaryquay/testing/jobs/order-simulation';

/** Work of a step, in core-seconds, and the times between which it has to be done. */
export type Window = {readonly releaseMs: number; readonly deadlineMs: number; readonly work: number};

/**
 * Lists the windows of the steps of the jobs. A step can't begin before the longest task of each earlier step has run, and
 * must leave as much time to the later ones. A job whose tasks take longer than its objective can't be in time; it is done
 * while it is of use, so that all jobs are served as by the planner of the product.
 *
 * @param jobs - the jobs, whose steps follow each other
 * @returns the windows, and the number of jobs that can be in time at all
 * @example
 * listWindows(jobs).windows.length;
 */
export function listWindows(jobs: readonly SimulatedJob[]): {windows: Window[]; feasibleJobs: number} {
	const windows: Window[] = [];
	let feasibleJobs = 0;
	for (const {job, durationsMs, objectiveMs} of jobs) {
		const longestMs = durationsMs.map(durations => Math.max(...durations));
		const pathMs = longestMs.reduce((sum, longest) => sum + longest, 0);
		feasibleJobs += Number(pathMs <= objectiveMs);
		const limitMs = pathMs <= objectiveMs ? objectiveMs : Math.max(pathMs, lateObjectiveMultiple * objectiveMs);
		let beforeMs = 0;
		for (const [position, durations] of durationsMs.entries()) {
			const own = longestMs[position] ?? 0;
			const cores = (job.steps[position]?.cpuMillis ?? 0) / 1000;
			windows.push({
				releaseMs: job.acceptedAtMs + beforeMs, deadlineMs: job.acceptedAtMs + limitMs - (pathMs - beforeMs - own), work: durations.reduce((sum, duration) => sum + duration, 0) / 1000 * cores,
			});
			beforeMs += own;
		}
	}

	return {windows, feasibleJobs};
}
