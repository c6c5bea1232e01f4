import {
	fullRetentionMs, leavingRetentionMs, usageRetentionMs, workerReturnMs,
} from '../constants.js';
import {type Node} from '../node/node.js';
import {measureZone} from '../shares/measure-zone.js';
import {type Worker} from './placement.js';

function isLeaving(worker: Worker, at: number): boolean {
	return worker.instance.state === 'leaving' || at - worker.leavingAt < leavingRetentionMs;
}

/** Part of a worker's slots that it gets while it, or its availability zone, returns. */
function returnedPart(node: Node, worker: Worker, at: number): number {
	const workerAge = at - worker.returnedAt;
	return Math.min(1, workerAge / workerReturnMs, measureZone(node, worker.instance.zone, at));
}

/** Slots in use by all nodes: the last report, corrected by what this node started and ended since. */
function countUsed(worker: Worker, at: number): number {
	const others = at - worker.reportedAt <= usageRetentionMs ? Math.max(0, worker.reported - worker.runningAtReport) : 0;
	return worker.running + others;
}

/**
 * Counts the free slots of a worker that this node may use; a part of one when reports show it as full. A leaving worker and one in a withdrawn
 * availability zone have none. An ejected worker has one for a repeatable task when its probe is due.
 *
 * @param node - the node
 * @param worker - the worker
 * @param options - slots of a worker of the pool, whether the task is repeatable, now, and the time for which a
 * worker without a free slot is passed over, in milliseconds
 * @returns the number of free slots, at least 0
 * @example
 * if (countRoom(node, worker, {slots: 8, repeatable: true, at}) > 0) startOn(worker);
 */
export function countRoom(node: Node, worker: Worker, options: {slots: number; repeatable: boolean; at: number; fullMs?: number}): number {
	const {slots, repeatable, at, fullMs = fullRetentionMs} = options;
	if (isLeaving(worker, at) || (node.snapshot.catalogue.zones[worker.instance.zone]?.withdrawn ?? false)) {
		return 0;
	}

	if (worker.health === 'ejected') {
		return repeatable && at >= worker.ejectedUntil && worker.running === 0 ? 1 : 0;
	}

	const part = returnedPart(node, worker, at);
	const usable = part >= 1 ? slots : Math.max(1, Math.ceil(slots * part));
	if (worker.running >= usable || at - worker.fullAt < fullMs) {
		return 0;
	}

	// Reports lag: a worker that they show as full comes last, but its own answer decides.
	const used = countUsed(worker, at);
	return used < usable ? usable - used : 1 / (used + 1);
}
