import {lateObjectiveMultiple} from '../state/constants.js';
import {type JobOutlook} from './job-outlook.js';

/** Factor by which estimates of run times are off in either direction. */
const estimateErrorFactor = 2.5;

const estimateErrorLog = Math.log(estimateErrorFactor);

/** Value of a late answer relative to one within the objective: its caller has improvised already. */
const lateValue = 0.2;

/** Work below which jobs do not differ, in thousandths of a core times milliseconds; a job whose last small task waits would otherwise have an unbounded rating. */
const minimumWork = 100_000;

/**
 * Rates a job by the value that its caller gets for each unit of work that is still to be placed.
 *
 * @param outlook - outlook of the job
 * @param ageMs - time since the objective of the job began to count, in milliseconds
 * @returns the rating; 0 if the job is no longer of use, otherwise higher for jobs that go first
 * @example
 * rateJob(outlook, now - outlook.dueAt);
 */
export function rateJob(outlook: JobOutlook, ageMs: number): number {
	const {objectiveMs, remainingMs, value, waitingWork} = outlook;
	const timely = estimateChance(objectiveMs - ageMs, remainingMs);
	const late = estimateChance((lateObjectiveMultiple * objectiveMs) - ageMs, remainingMs);
	return value * (timely + (lateValue * (late - timely))) / Math.max(minimumWork, waitingWork);
}

/**
 * Chance that a path ends within the time left: 1 while its estimate fits, 0 once it would not fit if it took
 * `estimateErrorFactor` times less. A chance below 1 for jobs that fit would place newer jobs before older ones.
 */
function estimateChance(leftMs: number, remainingMs: number): number {
	if (leftMs <= 0) {
		return 0;
	}

	const neededMs = Math.max(1, remainingMs);
	return leftMs >= neededMs ? 1 : Math.max(0, 1 + (Math.log(leftMs / neededMs) / estimateErrorLog));
}
