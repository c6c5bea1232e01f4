import {findQueuePolicy} from '../state/find-queue-policy.js';
import {isStepReady} from '../state/is-step-ready.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';

/**
 * Lists the services for which ready tasks wait. Their free capacity is left to these tasks, also to those that wait for
 * another reason, since that reason may end at any time.
 *
 * @param scheduler - the state
 * @returns names of the services
 * @example
 * listWaitingServices(scheduler).has('planner');
 */
export function listWaitingServices(scheduler: Scheduler): Set<string> {
	const services = new Set<string>();
	for (const job of scheduler.jobs.values()) {
		const {service} = findQueuePolicy(scheduler, job);
		if (!services.has(service) && !job.cancelled && job.end === undefined && hasWaitingTasks(job)) {
			services.add(service);
		}
	}

	return services;
}

function hasWaitingTasks({occurrences}: ActiveJob): boolean {
	for (const steps of occurrences.values()) {
		for (const step of steps) {
			if (isStepReady(steps, step) && step.groups.some(group => isUnassigned(group))) {
				return true;
			}
		}
	}

	return false;
}
