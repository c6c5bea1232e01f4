import {addResources} from '../placement/add-resources.js';
import {type Resources} from '../state/configuration-schema.js';
import {type ActiveJob, type Scheduler} from '../state/scheduler.js';

const nothing: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/**
 * Tells whether an organisation stays within its upper limit if more tasks start. After a takeover, the usage that is not
 * reconciled yet counts as well. A limit of 0 means no limit.
 *
 * @param scheduler - the state
 * @param job - the job whose organisation counts
 * @param need - resources that would be added
 * @returns true if the limit is kept
 * @example
 * isWithinLimit(scheduler, job, need);
 */
export function isWithinLimit(scheduler: Scheduler, job: ActiveJob, need: Resources): boolean {
	const {organisation} = job.definition;
	const limit = scheduler.configuration.organisations.find(({name}) => name === organisation)?.limit;
	if (limit === undefined) {
		return true;
	}

	const known = addResources(scheduler.usedByOrganisation.get(organisation) ?? nothing, need);
	const total = addResources(known, scheduler.unreconciledByOrganisation.get(organisation) ?? nothing);
	return (limit.cpuMillis === 0 || total.cpuMillis <= limit.cpuMillis)
		&& (limit.memoryMb === 0 || total.memoryMb <= limit.memoryMb)
		&& (limit.accelerators === 0 || total.accelerators <= limit.accelerators);
}
