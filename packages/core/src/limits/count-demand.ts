import {type Node} from '../node/node.js';
import {type Account} from '../shares/shares.js';

/** Counts the queued tasks that may start soon: in a saturated pool those within the team's local share and one more, as the rest of the queue needs no slots of the limit yet. */
function countStartable(saturated: boolean, account: Account | undefined): number {
	if (account === undefined || !saturated) {
		return account?.queued ?? 0;
	}

	return Math.max(0, Math.min(account.queued, Math.ceil(account.localShare) + 1 - account.running));
}

/**
 * Counts the running tasks of a team at this node, and the queued ones that its share lets start.
 *
 * @param node - the node
 * @param team - name of the team
 * @returns the count
 * @example
 * countDemand(node, 'team-a');
 */
export function countDemand(node: Node, team: string): number {
	let demand = node.limits.running.get(team) ?? 0;
	for (const {accounts, saturated} of node.shares.pools.values()) {
		demand += countStartable(saturated, accounts.get(team));
	}

	return demand;
}
