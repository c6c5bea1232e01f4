import {summaryRetentionMs} from '../constants.js';
import {type Node} from '../node/node.js';
import {type Summary} from './message.js';

/**
 * Lists the recent summaries of the other members.
 *
 * @param node - the node
 * @param at - now, in milliseconds
 * @returns the summaries that arrived within the retention period
 * @example
 * for (const summary of listSummaries(node, at)) addDemand(summary.demand);
 */
export function listSummaries(node: Node, at: number): Summary[] {
	const summaries: Summary[] = [];
	for (const {summary, receivedAt} of node.membership.summaries.values()) {
		if (at - receivedAt <= summaryRetentionMs) {
			summaries.push(summary);
		}
	}

	return summaries;
}
