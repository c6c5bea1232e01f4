import {isFarBelowLimit} from '../order/is-far-below-limit.js';
import {maximumPlacementFailures} from '../state/constants.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';
import {isSpacious} from './is-spacious.js';
import {type RoundFailures} from './round-failures.js';

/**
 * Tells whether a job is tried in a round. After several failures, the rest of the round is skipped for jobs that need the
 * same scarce room, which bounds the work and keeps small tasks from using up what larger ones wait for.
 *
 * @param scheduler - the state
 * @param job - the job
 * @param round - its service and the failures of the round so far
 * @returns false if the job is not tried
 * @example
 * isWorthTrying(scheduler, job, {service: 'planner', failures});
 */
export function isWorthTrying(scheduler: Scheduler, job: ActiveJob, {service, failures}: {service: string; failures: RoundFailures}): boolean {
	const {organisation} = job.definition;
	if ((failures.byService.get(service) ?? 0) >= maximumPlacementFailures && !isSpacious(scheduler, service)) {
		return false;
	}

	return (failures.byOrganisation.get(organisation) ?? 0) < maximumPlacementFailures || isFarBelowLimit(scheduler, organisation);
}
