import {type Node} from '../node/node.js';

/**
 * Counts the tasks of a team that this node may run at the same time.
 *
 * @param node - the node
 * @param team - name of the team
 * @returns the portion, or less where the fair share, a pending write or a lowered limit allows less; 0 without a portion
 * under the current registration, and while the portions together exceed a lowered limit
 * @example
 * countUsableSlots(node, 'team-a');
 */
export function countUsableSlots(node: Node, team: string): number {
	const {teams, liveness, lastCallFailed} = node.limits;
	const {cached, pendingWrites} = teams.get(team) ?? {};
	if (cached === undefined || cached.freeSlots < 0) {
		return 0;
	}

	const {record} = cached;
	const portion = record.portions[node.id];
	if (portion?.registration !== liveness.registration) {
		return 0;
	}

	// Without the store, slots beyond the fair share cannot be handed to other holders, so they stay in use.
	let usable = lastCallFailed ? portion.count : Math.min(portion.count, cached.fairShare);
	if (pendingWrites?.comparedRevision === cached.modRevision) {
		usable = Math.min(usable, pendingWrites.lowestCount);
	}

	// The catalogue can have a lower limit before the record does.
	const limit = node.snapshot.catalogue.teams[team]?.limits.running ?? 0;
	if (node.snapshot.revision > record.revision && limit < record.limit) {
		usable = Math.min(usable, Math.floor(portion.count * limit / record.limit));
	}

	return usable;
}
