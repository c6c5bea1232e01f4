import {type Node} from '../node/node.js';
import {BrokenInvariant} from '../broken-invariant.js';

/**
 * Subtracts one from the running tasks of a team and marks its slot as released.
 *
 * @param node - the node, updated in place
 * @param team - name of the team
 * @throws {BrokenInvariant} when no task of the team is running
 * @example
 * releaseSlot(node, task.team);
 */
export function releaseSlot(node: Node, team: string): void {
	const running = node.limits.running.get(team) ?? 0;
	if (running === 0) {
		throw new BrokenInvariant(`Cannot release a slot of team "${team}": it has no running task`);
	}

	node.limits.running.set(team, running - 1);
	node.limits.releasedTeam = team;
}
