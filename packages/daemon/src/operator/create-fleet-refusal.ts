import {type FleetResponse} from './fleet-context.js';

const statusByReason = {
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

export type FleetRefusalReason = keyof typeof statusByReason;

/**
 * Creates the response to a command that was not carried out, or whose outcome is unknown.
 *
 * @param reason - machine-readable reason, on which clients may rely
 * @param detail - further members of the body
 * @returns the response
 * @example
 * return createFleetRefusal('conflict', {revision: 12});
 */
export function createFleetRefusal(reason: FleetRefusalReason, detail: Readonly<Record<string, unknown>> = {}): FleetResponse {
	return {status: statusByReason[reason], body: {reason, execution: reason === 'outcome-unknown' ? 'outcome unknown' : 'not run', ...detail}};
}
