import {mayHaveDuplicate} from '../copies/may-have-duplicate.js';
import {addResources} from '../placement/add-resources.js';
import {type Resources} from '../state/configuration-schema.js';
import {isStepReady} from '../state/is-step-ready.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {type ActiveJob, type Scheduler, type TaskGroup} from '../state/scheduler.js';

const nothing: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/**
 * Measures the resources that each organisation may use in tasks of a former owner on workers that have not answered
 * yet. The bound is the smaller of the needs of these tasks and the capacity of those workers.
 *
 * @param scheduler - the state
 * @param now - local time in milliseconds
 * @param mayStillRun - tells whether a task group may run on a worker that has not answered
 * @returns resources by organisation
 * @example
 * measureUnreconciledUsage(scheduler, now, group => group.job.recovered);
 */
export function measureUnreconciledUsage(scheduler: Scheduler, now: number, mayStillRun: (group: TaskGroup) => boolean): Map<string, Resources> {
	const usage = new Map<string, Resources>();
	const capacity = measureCapacity(scheduler, now);
	for (const job of scheduler.jobs.values()) {
		if (!job.recovered) {
			continue;
		}

		const {organisation} = job.definition;
		const total = addResources(usage.get(organisation) ?? nothing, sumUnassignedNeeds(job, mayStillRun));
		usage.set(organisation, {
			cpuMillis: Math.min(total.cpuMillis, capacity.cpuMillis), memoryMb: Math.min(total.memoryMb, capacity.memoryMb), accelerators: Math.min(total.accelerators, capacity.accelerators),
		});
	}

	return usage;
}

/** Capacity of the workers that have not answered; unbounded if the store no longer lists one of them. */
function measureCapacity({workers}: Scheduler, now: number): Resources {
	let capacity = nothing;
	for (const {unreconciledUntil, listing} of workers.values()) {
		if (unreconciledUntil > now) {
			capacity = addResources(capacity, listing?.capacity ?? {cpuMillis: Number.POSITIVE_INFINITY, memoryMb: Number.POSITIVE_INFINITY, accelerators: Number.POSITIVE_INFINITY});
		}
	}

	return capacity;
}

function sumUnassignedNeeds({occurrences}: ActiveJob, mayStillRun: (group: TaskGroup) => boolean): Resources {
	let unassigned = nothing;
	for (const steps of occurrences.values()) {
		for (const step of steps) {
			if (!isStepReady(steps, step)) {
				continue;
			}

			for (const group of step.groups.filter(({done}) => !done)) {
				if (!mayStillRun(group)) {
					continue;
				}

				const {definition, tasks} = group;
				const duplicates = mayHaveDuplicate({definition}) ? tasks.filter(({duplicate}) => duplicate === undefined).length : 0;
				const count = duplicates + tasks.filter(({state}) => state === 'unassigned').length;
				unassigned = addResources(unassigned, getReservedResources(definition), count);
			}
		}
	}

	return unassigned;
}
