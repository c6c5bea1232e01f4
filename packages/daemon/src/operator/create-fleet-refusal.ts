import {type FleetAnswer} from './fleet-context.js';

const statuses = {
	'body-malformed': 400,
	'instance-unknown': 404,
	'pool-unknown': 404,
	'plan-absent': 404,
	'plan-aborted': 409,
	conflict: 409,
	'step-under-way': 409,
	'store-unavailable': 503,
	'outcome-unknown': 503,
} as const;

export type FleetRefusal = keyof typeof statuses;

/**
 * Creates the answer to a command that was not carried out.
 *
 * @param reason - the stable reason
 * @param detail - further members of the body
 * @returns the answer
 * @example
 * return refuseFleet('conflict', {revision: 12});
 */
export function refuseFleet(reason: FleetRefusal, detail: Readonly<Record<string, unknown>> = {}): FleetAnswer {
	return {status: statuses[reason], body: {reason, execution: reason === 'outcome-unknown' ? 'outcome unknown' : 'not run', ...detail}};
}
