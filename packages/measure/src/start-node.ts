import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {type User} from './load-user.js';
import {type Pump} from './pump.js';

const confirmationIntervalMs = 500;

/**
 * Delivers catalogue, members and instance list to a node, and confirms its configuration at an interval.
 *
 * @param pump - the pump that holds the node
 * @param user - the user
 * @param nodeId - the node
 * @example
 * startNode(pump, user, 'entry-1');
 */
export function startNode(pump: Pump, user: User, nodeId: string): void {
	pump.deliver(nodeId, {type: 'catalogue-loaded', snapshot: createSnapshot(user.catalogue, 1)});
	pump.deliver(nodeId, {type: 'peers-listed', members: [...pump.nodes.keys()]});
	pump.deliver(nodeId, {type: 'instances-listed', instances: user.instances});
	const confirm = (): void => {
		pump.deliver(nodeId, {type: 'configuration-confirmed'});
		pump.after(confirmationIntervalMs, confirm);
	};

	confirm();
}
