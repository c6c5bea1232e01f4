import {type Node} from '../node/node.js';

/**
 * Counts the running and waiting tasks of a team in this node.
 *
 * @param node - the node
 * @param team - name of the team
 * @returns the count
 * @example
 * countNeed(node, 'team-a');
 */
export function countNeed(node: Node, team: string): number {
	let need = node.limits.running.get(team) ?? 0;
	for (const {accounts} of node.shares.pools.values()) {
		need += accounts.get(team)?.queued ?? 0;
	}

	return need;
}
