import {type Node} from '../node/node.js';
import {countUsableSlots} from './count-usable-slots.js';
import {mayUsePortions} from './may-use-portions.js';

/**
 * Tells whether the upper limit of a team lets this node start one more of its tasks.
 *
 * @param node - the node
 * @param team - name of the team
 * @returns whether the team's running tasks are below what this node may run
 * @example
 * if (hasLimitHeadroom(node, task.team)) startTask();
 */
export function hasLimitHeadroom(node: Node, team: string): boolean {
	if (node.limits.soleHolder) {
		return (node.limits.running.get(team) ?? 0) < (node.snapshot.catalogue.teams[team]?.limits.running ?? 0);
	}

	return mayUsePortions(node, node.limits.now) && (node.limits.running.get(team) ?? 0) < countUsableSlots(node, team);
}
