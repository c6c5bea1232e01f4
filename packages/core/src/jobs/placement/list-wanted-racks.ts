import {estimateDuration} from '../estimates/estimate-duration.js';
import {findQueuePolicy} from '../state/find-queue-policy.js';
import {isStepReady} from '../state/is-step-ready.js';
import {isUnassigned} from '../state/is-unassigned.js';
import {type Scheduler} from '../state/scheduler.js';
import {findPreferredRack} from './find-preferred-rack.js';

/** A rack with the work of the ready tasks that should run there, in thousandths of a core times milliseconds. */
export type WantedRack = {readonly rack: string; readonly work: number};

/**
 * Lists the racks that waiting tasks of a service should run on, those with the most work first. Instances of these racks
 * serve the pool best.
 *
 * @param scheduler - the state
 * @param service - the service
 * @returns the racks; empty if no waiting task prefers one
 * @example
 * listWantedRacks(scheduler, 'planner')[0]?.rack;
 */
export function listWantedRacks(scheduler: Scheduler, service: string): WantedRack[] {
	const workByRack = new Map<string, number>();
	for (const job of scheduler.jobs.values()) {
		const {steps: definitions} = job.definition;
		if (job.cancelled || job.end !== undefined || !definitions.some(({affinity, sameRack}) => affinity !== '' || sameRack) || findQueuePolicy(scheduler, job).service !== service) {
			continue;
		}

		for (const steps of job.occurrences.values()) {
			for (const step of steps) {
				const waiting = isStepReady(steps, step) ? step.groups.filter(group => isUnassigned(group)) : [];
				const [first] = waiting;
				const rack = first === undefined ? '' : findPreferredRack(first, step, []);
				if (first !== undefined && rack !== '') {
					const taskCount = waiting.reduce((sum, {tasks}) => sum + tasks.length, 0);
					const work = taskCount * first.definition.cpuMillis * estimateDuration(scheduler, job, step.step);
					workByRack.set(rack, (workByRack.get(rack) ?? 0) + work);
				}
			}
		}
	}

	return [...workByRack].map(([rack, work]) => ({rack, work})).toSorted((left, right) => right.work - left.work);
}
