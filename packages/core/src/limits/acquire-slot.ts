import {type Node} from '../node/node.js';

/**
 * Adds one to the running tasks of a team.
 *
 * @param node - the node, updated in place
 * @param team - name of the team
 * @example
 * acquireSlot(node, task.team);
 */
export function acquireSlot(node: Node, team: string): void {
	node.limits.running.set(team, (node.limits.running.get(team) ?? 0) + 1);
}
