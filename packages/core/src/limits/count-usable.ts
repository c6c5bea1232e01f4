import {type Node} from '../node/node.js';

/**
 * Counts the tasks of a team that this node may have running.
 *
 * @param node - the node
 * @param team - name of the team
 * @returns the lowest of the portion, what uncertain writes may leave of it, and what a lowered limit leaves
 * @example
 * countUsable(node, 'team-a');
 */
export function countUsable(node: Node, team: string): number {
	const {teams, liveness, failing} = node.limits;
	const {view, uncertain} = teams.get(team) ?? {};
	if (view === undefined || view.free < 0) {
		return 0;
	}

	const {record} = view;
	const portion = record.portions[node.id];
	if (portion?.registration !== liveness.registration) {
		return 0;
	}

	// Without the store, room that is left for other holders cannot reach them.
	let usable = failing ? portion.count : Math.min(portion.count, view.target);
	if (uncertain?.compared === view.modRevision) {
		usable = Math.min(usable, uncertain.count);
	}

	// The catalogue can bring a lower limit before the record has it.
	const limit = node.snapshot.catalogue.teams[team]?.limits.running ?? 0;
	if (node.snapshot.revision > record.revision && limit < record.limit) {
		usable = Math.min(usable, Math.floor(portion.count * limit / record.limit));
	}

	return usable;
}
