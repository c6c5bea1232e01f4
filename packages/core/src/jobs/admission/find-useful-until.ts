import {type JobOutlook} from '../order/job-outlook.js';
import {lateObjectiveMultiple} from '../state/constants.js';

/**
 * Finds the time until which a job is certainly of use although nothing of it starts.
 *
 * @param outlook - outlook of the job
 * @returns local time in milliseconds
 * @example
 * findUsefulUntil(outlook) - now;
 */
export function findUsefulUntil({dueAt, objectiveMs, remainingMs}: JobOutlook): number {
	return dueAt + (lateObjectiveMultiple * objectiveMs) - remainingMs;
}
