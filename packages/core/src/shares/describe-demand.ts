import {type Demand} from '../membership/message.js';
import {type Node} from '../node/node.js';

/**
 * Describes the demand of a node: its running tasks, and all others, which count as queued. `urgent` counts both.
 *
 * @param node - the node
 * @returns demand by pool and team, without teams that have none
 * @example
 * describeDemand(node)['web']?.['team-a']?.queued;
 */
export function describeDemand(node: Node): Record<string, Record<string, Demand>> {
	const demand: Record<string, Record<string, {running: number; queued: number; urgent: number}>> = {};
	for (const task of node.tasks.byId.values()) {
		demand[task.pool] ??= {};
		const pool = demand[task.pool] ?? {};
		pool[task.team] ??= {running: 0, queued: 0, urgent: 0};
		const team = pool[task.team] ?? {running: 0, queued: 0, urgent: 0};
		team.urgent += task.class === 'urgent' ? 1 : 0;
		if (task.state === 'running') {
			team.running += 1;
		} else {
			team.queued += 1;
		}
	}

	return demand;
}
