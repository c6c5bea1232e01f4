import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {dispatchPool} from '../tasks/dispatch-pool.js';
import {hasLimitHeadroom} from './has-limit-headroom.js';

/**
 * Starts queued tasks of the team whose slot the event released, in all pools. The handlers of the
 * event dispatch only the pool of the ended task; without this, a task in another pool would wait for
 * the slot until the next tick.
 *
 * @param node - the node, updated in place
 * @param event - the event that may have released a slot, after its other handlers
 * @returns one `start-attempt` for each started task
 * @example
 * dispatchReleasedSlot(node, {type: 'attempt-finished', at: 5, attemptId: 'a-1', outcome});
 */
export function dispatchReleasedSlot(node: Node, event: {readonly at: number}): Effect[] {
	const team = node.limits.releasedTeam;
	node.limits.releasedTeam = undefined;
	const effects: Effect[] = [];
	for (const [pool, {accounts}] of team === undefined || !hasLimitHeadroom(node, team) ? [] : node.shares.pools) {
		if (team !== undefined && (accounts.get(team)?.queued ?? 0) > 0) {
			effects.push(...dispatchPool(node, pool, event.at));
		}
	}

	return effects;
}
