import {z} from 'zod';
import {type Node} from '../node/node.js';

export const memberRecordSchema = z.object({
	address: z.string(), zone: z.string(), incarnation: z.number(), lease: z.string().default(''),
});

/**
 * Formats the node's record in the store.
 *
 * @param node - the node
 * @returns the text with address, availability zone and incarnation
 * @example
 * const value = formatMember(node);
 */
export function formatMember(node: Node): string {
	const {address, incarnation, leaseId = ''} = node.membership.registration;
	return JSON.stringify({
		address, zone: node.zone, incarnation, lease: leaseId,
	});
}
