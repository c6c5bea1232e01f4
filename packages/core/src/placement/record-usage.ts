import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';

/**
 * Records the slot usage that workers reported.
 *
 * @param node - the node, updated in place
 * @param event - the reports; those of unknown workers are ignored
 * @returns no effects
 * @example
 * recordUsage(node, {type: 'usage-reported', at: 0, usage: [{workerId: 'w-1', runningSlots: 3}]});
 */
export function recordUsage(node: Node, event: EventOf<'usage-reported'>): Effect[] {
	for (const usage of event.usage) {
		const worker = node.placement.workers.get(usage.workerId);
		if (worker !== undefined) {
			worker.reportedRunning = usage.runningSlots;
			worker.reportedAt = event.at;
			worker.runningAtReport = worker.running;
		}
	}

	return [];
}
