import {type Resources} from '../state/configuration-schema.js';
import {type Scheduler} from '../state/scheduler.js';

/** Part of an upper limit below which the platform expects waiting tasks of its organisation to start. */
const spaciousFraction = 0.5;

const resources = ['cpuMillis', 'memoryMb', 'accelerators'] as const satisfies ReadonlyArray<keyof Resources>;

/**
 * Tells whether an organisation uses less than half of its upper limit. After a takeover, the usage that is not reconciled
 * yet counts as well. A limit of 0 means no limit.
 *
 * @param scheduler - the state
 * @param organisation - name of the organisation
 * @returns true if so, also without a limit
 * @example
 * isFarBelowLimit(scheduler, 'north');
 */
export function isFarBelowLimit({configuration, usedByOrganisation, unreconciledByOrganisation}: Scheduler, organisation: string): boolean {
	const limit = configuration.organisations.find(({name}) => name === organisation)?.limit;
	const used = usedByOrganisation.get(organisation);
	const unreconciled = unreconciledByOrganisation.get(organisation);
	return limit === undefined || resources.every(resource => limit[resource] === 0 || (used?.[resource] ?? 0) + (unreconciled?.[resource] ?? 0) < limit[resource] * spaciousFraction);
}
