import {z} from 'zod';
import {type Node} from '../node/node.js';

export const memberRecordSchema = z.object({
	address: z.string(), zone: z.string(), incarnation: z.number(), lease: z.string().default(''),
});

/**
 * Formats the node's own member record as its stored document.
 *
 * @param node - the node
 * @returns the JSON text with address, availability zone, incarnation and lease
 * @example
 * const value = formatMember(node);
 */
export function formatMember(node: Node): string {
	const {address, incarnation, leaseId = ''} = node.membership.registration;
	return JSON.stringify({
		address, zone: node.zone, incarnation, lease: leaseId,
	});
}
