import {type Node} from '../node/node.js';
import {type Account} from '../shares/shares.js';

/** Waiting tasks that the team's share lets this node start; the rest of a full pool's queue needs no portion yet. */
function countStartable(full: boolean, account: Account | undefined): number {
	if (account === undefined || !full) {
		return account?.queued ?? 0;
	}

	return Math.max(0, Math.min(account.queued, Math.ceil(account.part) + 1 - account.running));
}

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
	for (const {accounts, full} of node.shares.pools.values()) {
		need += countStartable(full, accounts.get(team));
	}

	return need;
}
