import {divideCapacity} from '../../shares/divide-capacity.js';
import {addResources} from '../placement/add-resources.js';
import {measureDominantResource} from '../placement/measure-dominant-resource.js';
import {type Organisation, type Resources} from '../state/configuration-schema.js';
import {type ServiceUsage} from './measure-usage.js';
import {type OrganisationShare, type ServiceShares} from './service-shares.js';

/** Weight of jobs without an organisation and of organisations that are no longer configured; the default of the configuration. */
const defaultWeight = 1;

const nothing: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/**
 * Divides a service among the organisations by weighted max-min fairness over the dominant resource. What an
 * organisation does not use goes to the others. An organisation with the weight 0 gets only what is left.
 *
 * @param usage - capacity and usage of the service
 * @param waitingByOrganisation - resources of the ready tasks that wait
 * @param organisations - the configured organisations by name
 * @returns the shares, or undefined unless tasks wait for capacity and at least two organisations with a weight above 0 compete
 * @example
 * computeShares(usage, waiting, organisations)?.organisations.get('north')?.share;
 */
export function computeShares(usage: ServiceUsage, waitingByOrganisation: ReadonlyMap<string, Resources>, organisations: ReadonlyMap<string, Organisation>): ServiceShares | undefined {
	const capacity = usage.capacity.cpuMillis;
	const measured = new Map<string, Omit<OrganisationShare, 'share'>>();
	const demands = new Map<string, {demand: number; weight: number}>();
	let total = 0;
	for (const name of new Set([...usage.usedByOrganisation.keys(), ...waitingByOrganisation.keys()])) {
		const organisation = organisations.get(name);
		const {weight} = organisation ?? {weight: defaultWeight};
		const used = measureDominantResource(usage.usedByOrganisation.get(name) ?? nothing, usage.capacity);
		const need = addResources(usage.usedByOrganisation.get(name) ?? nothing, waitingByOrganisation.get(name) ?? nothing);
		const demand = measureDominantResource(capResources(need, organisation?.limit), usage.capacity);
		total += demand;
		measured.set(name, {weight, used, waiting: Math.max(0, demand - used)});
		if (weight > 0 && demand > 0) {
			demands.set(name, {demand, weight});
		}
	}

	if (total <= capacity || demands.size < 2) {
		return undefined;
	}

	const shares = divideCapacity(demands, capacity);
	return {capacity, organisations: new Map([...measured].map(([name, organisation]) => [name, {...organisation, share: shares.get(name) ?? 0}]))};
}

/** What an organisation can use at most; in a limit, 0 means no limit. */
function capResources(need: Resources, limit: Resources = nothing): Resources {
	return {
		cpuMillis: Math.min(need.cpuMillis, limit.cpuMillis || Number.POSITIVE_INFINITY),
		memoryMb: Math.min(need.memoryMb, limit.memoryMb || Number.POSITIVE_INFINITY),
		accelerators: Math.min(need.accelerators, limit.accelerators || Number.POSITIVE_INFINITY),
	};
}
