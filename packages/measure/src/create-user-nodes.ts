import {createNode} from '@rosemaryquay/core/node/create-node';
import {type Node} from '@rosemaryquay/core/node/node';
import {type User} from './load-user.js';

/**
 * Creates the entry instances of a user, spread over its availability zones.
 *
 * @param user - the user
 * @param options - seed of the first node, increased by one for each further node
 * @returns the nodes, not yet started
 * @example
 * const simulation = new Simulation({nodes: createUserNodes(user, {seed: 1}), seed: 1, worker});
 */
export function createUserNodes(user: User, options: {seed: number}): Node[] {
	const {fleet} = user;
	return Array.from({length: fleet.entryInstances}, (_, index) => createNode({
		id: `entry-${index + 1}`, zone: fleet.zones[index % fleet.zones.length] ?? '', seed: options.seed + index,
	}));
}
