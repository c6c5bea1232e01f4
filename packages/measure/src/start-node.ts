import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {type User} from './load-user.js';
import {type Simulation} from './simulation.js';

const confirmationIntervalMs = 500;

/**
 * Delivers the catalogue, the members and the instance list to a node, and confirms its configuration every 500 ms.
 *
 * @param simulation - the simulation that holds the node
 * @param user - the user
 * @param nodeId - the node
 * @example
 * startNode(simulation, user, 'entry-1');
 */
export function startNode(simulation: Simulation, user: User, nodeId: string): void {
	simulation.deliver(nodeId, {type: 'catalogue-loaded', snapshot: createSnapshot(user.catalogue, 1)});
	simulation.deliver(nodeId, {type: 'peers-listed', members: [...simulation.nodes.keys()]});
	simulation.deliver(nodeId, {type: 'instances-listed', instances: user.instances});
	const confirm = (): void => {
		simulation.deliver(nodeId, {type: 'configuration-confirmed'});
		simulation.after(confirmationIntervalMs, confirm);
	};

	confirm();
}
