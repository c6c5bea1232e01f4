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

		for (const [organisation, used] of measureWorker(worker)) {
			addUsage(usage.usedByOrganisation, organisation, used);
		}
	}

	return usages;
}

/** Measures what each organisation uses of a worker, again only after a task was assigned to it or released. */
function measureWorker(worker: Worker): ReadonlyMap<string, Resources> {
	if (worker.measuredUsage?.used !== worker.used) {
		const byOrganisation = new Map<string, Resources>();
		for (const {group} of worker.tasks) {
			addUsage(byOrganisation, group.job.definition.organisation, getReservedResources(group.definition));
		}

		worker.measuredUsage = {used: worker.used, byOrganisation};
	}

	return worker.measuredUsage.byOrganisation;
}

function addUsage(usedByOrganisation: Map<string, Resources>, organisation: string, used: Resources): void {
	const sum = usedByOrganisation.get(organisation);
	if (sum === undefined) {
		usedByOrganisation.set(organisation, {...used});
		return;
	}

	sum.cpuMillis += used.cpuMillis;
	sum.memoryMb += used.memoryMb;
	sum.accelerators += used.accelerators;
}
