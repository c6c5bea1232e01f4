import {addResources} from '../placement/add-resources.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {listSchedulableWorkers} from '../placement/list-schedulable-workers.js';
import {type Resources} from '../state/configuration-schema.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';

/** Capacity of a service that tasks can use, and what each organisation uses of it. */
export type ServiceUsage = {capacity: Resources; readonly usedByOrganisation: Map<string, Resources>};

const nothing: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/**
 * Measures what each organisation uses of each service, from the tasks that are assigned to its workers. Nothing is kept
 * between two decisions, so a takeover or a lost run can't leave usage behind or count it twice. A worker that gets no
 * new tasks counts with what runs on it; one that may run unknown tasks of a former owner does not count until it answers.
 *
 * @param scheduler - the state
 * @param now - local time in milliseconds
 * @returns capacity and usage by service
 * @example
 * measureUsage(scheduler, now).get('alerts')?.usedByOrganisation.get('north');
 */
export function measureUsage(scheduler: Scheduler, now: number): Map<string, ServiceUsage> {
	const usages = new Map<string, ServiceUsage>();
	const schedulable = listSchedulableWorkers(scheduler, now);
	for (const [service, workers] of schedulable) {
		let capacity = nothing;
		for (const {listing, unreconciledUntil} of workers) {
			capacity = unreconciledUntil > now ? capacity : addResources(capacity, listing?.capacity ?? nothing);
		}

		usages.set(service, {capacity, usedByOrganisation: new Map()});
	}

	const usableWorkers = new Set([...schedulable.values()].flat());
	for (const worker of scheduler.workers.values()) {
		const usage = usages.get(worker.listing?.service ?? '');
		if (usage === undefined || worker.unreconciledUntil > now) {
			continue;
		}

		if (!usableWorkers.has(worker)) {
			usage.capacity = addResources(usage.capacity, worker.used);
		}

		addUsage(usage, worker);
	}

	return usages;
}

function addUsage({usedByOrganisation}: ServiceUsage, {tasks}: Worker): void {
	for (const {group} of tasks) {
		const {organisation} = group.job.definition;
		usedByOrganisation.set(organisation, addResources(usedByOrganisation.get(organisation) ?? nothing, getReservedResources(group.definition)));
	}
}
