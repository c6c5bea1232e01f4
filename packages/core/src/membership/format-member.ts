import {z} from 'zod';
import {type Node} from '../node/node.js';

export const memberRecordSchema = z.object({address: z.string(), zone: z.string(), incarnation: z.number()});

/**
 * Formats the node's record in the store.
 *
 * @param node - the node
 * @returns the text with address, availability zone and incarnation
 * @example
 * const value = formatMember(node);
 */
export function formatMember(node: Node): string {
	const {address, incarnation} = node.membership.registration;
	return JSON.stringify({address, zone: node.zone, incarnation});
}
