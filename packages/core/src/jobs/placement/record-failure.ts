import {
	type Scheduler, type StepState, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {findObtainableWorkers} from './find-obtainable-workers.js';
import {mayStartUnderLimit} from './may-start-under-limit.js';
import {type RoundFailures} from './round-failures.js';

/**
 * Records that a group was not placed. Counts only what becomes free when other tasks end: a group that waits for a label,
 * a ticket or a larger worker must not keep others from the room that it cannot use.
 *
 * @param scheduler - the state
 * @param failures - failures of the round; changed
 * @param attempt - the group, its step, the service and its schedulable workers, and the local time in milliseconds
 * @example
 * recordFailure(scheduler, failures, {group, step, service: 'planner', workers, now});
 */
export function recordFailure(scheduler: Scheduler, failures: RoundFailures, attempt: {group: TaskGroup; step: StepState; service: string; workers: readonly Worker[]; now: number}): void {
	const {group, step, service, workers, now} = attempt;
	const {byService, byOrganisation} = failures;
	if (!mayStartUnderLimit(scheduler, group, now)) {
		// An organisation at its upper limit must not keep the others from the service.
		const {organisation} = group.job.definition;
		byOrganisation.set(organisation, (byOrganisation.get(organisation) ?? 0) + 1);
		return;
	}

	if (findObtainableWorkers(group, step, workers) !== undefined) {
		byService.set(service, (byService.get(service) ?? 0) + 1);
	}
}
