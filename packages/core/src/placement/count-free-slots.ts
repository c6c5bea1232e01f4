import {
	fullWorkerBackoffMs, leavingRetentionMs, usageRetentionMs, workerSlowStartMs,
} from '../constants.js';
import {type Node} from '../node/node.js';
import {computeZoneFraction} from '../shares/compute-zone-fraction.js';
import {type Worker} from './placement.js';

function isLeaving(worker: Worker, at: number): boolean {
	return worker.instance.state === 'leaving' || at - worker.leavingAt < leavingRetentionMs;
}

/** Computes the usable fraction of a worker's slots while the worker, or its availability zone, ramps up. */
function computeRampUpFraction(node: Node, worker: Worker, at: number): number {
	const workerAge = at - worker.returnedAt;
	return Math.min(1, workerAge / workerSlowStartMs, computeZoneFraction(node, worker.instance.zone, at));
}

/** Counts the slots in use by all nodes: those of the last report, corrected by the attempts that this node started and ended since. */
function countUsedSlots(worker: Worker, at: number): number {
	const usedByOthers = at - worker.reportedAt <= usageRetentionMs ? Math.max(0, worker.reportedRunning - worker.runningAtReport) : 0;
	return worker.running + usedByOthers;
}

/**
 * Counts the free slots of a worker that this node may use. A worker that reports show as full counts for a
 * fraction of a slot. A leaving worker and one in a withdrawn availability zone have none. An ejected worker
 * has one for a repeatable task when its probe is due.
 *
 * @param node - the node
 * @param worker - the worker
 * @param options - slots of a worker of the pool, whether the task is repeatable, now, and the time for which a
 * worker that refused a task for lack of a slot is skipped, in milliseconds
 * @returns the number of free slots, at least 0
 * @example
 * if (countFreeSlots(node, worker, {slots: 8, repeatable: true, at}) > 0) startOn(worker);
 */
export function countFreeSlots(node: Node, worker: Worker, options: {slots: number; repeatable: boolean; at: number; skipFullMs?: number}): number {
	const {slots, repeatable, at, skipFullMs = fullWorkerBackoffMs} = options;
	if (isLeaving(worker, at) || (node.snapshot.catalogue.zones[worker.instance.zone]?.withdrawn ?? false)) {
		return 0;
	}

	if (worker.health === 'ejected') {
		return repeatable && at >= worker.ejectedUntil && worker.running === 0 ? 1 : 0;
	}

	const fraction = computeRampUpFraction(node, worker, at);
	const usableSlots = fraction >= 1 ? slots : Math.max(1, Math.ceil(slots * fraction));
	if (worker.running >= usableSlots || at - worker.fullAt < skipFullMs) {
		return 0;
	}

	// Usage reports lag behind: a worker that they show as full ranks last but may still be asked, as its own answer decides.
	const usedSlots = countUsedSlots(worker, at);
	return usedSlots < usableSlots ? usableSlots - usedSlots : 1 / (usedSlots + 1);
}
