import {starvationMs} from '../constants.js';
import {type WorkClass} from '../catalogue/schema.js';
import {hasLimitHeadroom} from '../limits/has-limit-headroom.js';
import {type Node, type Task} from '../node/node.js';
import {canStartCheckpointed} from './can-start-checkpointed.js';
import {hasShareHeadroom} from './has-share-headroom.js';
import {refreshShares} from './refresh-shares.js';
import {type Flow} from './shares.js';

/** Largest number of tasks scanned in one flow; the first ones may be waiting for the worker that has their progress. */
const maximumScannedTasks = 16;

/** Lower ranks start first; `starved` is standard or bulk work that has waited longer than the starvation bound. */
const ranks: Readonly<Record<WorkClass | 'starved', number>> = {
	starved: 0, urgent: 1, standard: 2, bulk: 2,
};

function findStartable(node: Node, flow: Flow, at: number): Task | undefined {
	for (const [index, task] of flow.tasks.entries()) {
		if (index >= maximumScannedTasks) {
			return undefined;
		}

		if (task.resume === undefined || canStartCheckpointed(node, task, at)) {
			return task;
		}
	}

	return undefined;
}

function isStarved(flow: Flow, task: Task, at: number): boolean {
	return flow.class !== 'urgent' && at - task.arrivedAt > starvationMs && at - flow.startedAt > starvationMs;
}

/**
 * Selects the task of a pool that starts next; the task stays queued. Starved tasks come first, then urgent
 * ones, then the flow with the lowest start tag. Tasks beyond their team's local share are skipped unless starved.
 *
 * @param node - the node; the pool's shares are refreshed
 * @param name - name of the pool
 * @param at - now, in milliseconds
 * @returns the task, or `undefined` when none may start
 * @example
 * const task = selectNextTask(node, 'web', at);
 */
export function selectNextTask(node: Node, name: string, at: number): Task | undefined {
	const pool = node.shares.pools.get(name);
	if (pool === undefined) {
		return undefined;
	}

	refreshShares(node, name, at);
	let best: {task: Task; rank: number; startTag: number} | undefined;
	for (const flow of pool.flows.values()) {
		const task = flow.tasks.length === 0 || !hasLimitHeadroom(node, flow.team) ? undefined : findStartable(node, flow, at);
		if (task === undefined) {
			continue;
		}

		const starved = isStarved(flow, task, at);
		if (!starved && !hasShareHeadroom(pool, flow.team, flow.class)) {
			continue;
		}

		const rank = ranks[starved ? 'starved' : flow.class];
		const startTag = Math.max(pool.virtualTime, flow.finishTag);
		if (best === undefined || rank < best.rank || (rank === best.rank && startTag < best.startTag)) {
			best = {task, rank, startTag};
		}
	}

	return best?.task;
}
