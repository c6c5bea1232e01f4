import {unmetDemandPollIntervalMs, nearLimitFraction} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {hasLimitHeadroom} from './has-limit-headroom.js';
import {syncPortions} from './sync-portions.js';

/**
 * Makes a store call at once, rather than at the next tick, when no slot of the node's portion
 * is free for an admitted request.
 *
 * @param node - the node, updated in place
 * @param event - the arrival, already admitted or refused
 * @returns a store call if one may be made
 * @example
 * requestPortion(node, {type: 'request-arrived', at: 0, arrival});
 */
export function requestPortion(node: Node, event: EventOf<'request-arrived'>): Effect[] {
	const task = node.tasks.byId.get(event.arrival.id);
	if (task === undefined || hasLimitHeadroom(node, task.team)) {
		return [];
	}

	const {calledAt, cached} = node.limits.teams.get(task.team) ?? {};
	const recent = calledAt !== undefined && event.at - calledAt < unmetDemandPollIntervalMs;
	// Near the limit, one call in `unmetDemandPollIntervalMs` is enough: a call for each request would use up the call rate that returned and granted slots need.
	const nearLimit = cached === undefined || cached.freeSlots <= cached.record.limit * nearLimitFraction;
	return recent && nearLimit ? [] : syncPortions(node);
}
