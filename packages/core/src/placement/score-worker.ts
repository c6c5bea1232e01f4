import {
	fullWorkerBackoffMs, leavingRetentionMs, usageRetentionMs, workerRampUpMs,
} from '../constants.js';
import {type Node} from '../node/node.js';
import {computeZoneFraction} from '../shares/compute-zone-fraction.js';
import {type Worker} from './placement.js';

function isLeaving(worker: Worker, at: number): boolean {
	return worker.instance.state === 'leaving' || at - worker.leavingAt < leavingRetentionMs;
}

/** Computes the usable fraction of a worker's slots while the worker, or its availability zone, ramps up. */
function computeRampUpFraction(node: Node, worker: Worker, at: number): number {
	const workerAge = at - worker.reinstatedAt;
	return Math.min(1, workerAge / workerRampUpMs, computeZoneFraction(node, worker.instance.zone, at));
}

/** Counts the slots in use by all nodes: those of the last report, corrected by the attempts that this node started and ended since. */
function countUsedSlots(worker: Worker, at: number): number {
	const usedByOthers = at - worker.reportedAt <= usageRetentionMs ? Math.max(0, worker.reportedRunning - worker.runningAtReport) : 0;
	return worker.running + usedByOthers;
}

/**
 * Scores a worker by its free slots that this node may use. One that usage reports show as full scores below 1: the more
 * slots are in use, the lower. A leaving worker and one in a withdrawn availability zone score 0. An ejected worker
 * scores 1 for a repeatable task when its probe is due, otherwise 0.
 *
 * @param node - the node
 * @param worker - the worker
 * @param options - slots of a worker of the pool, whether the task is repeatable, now, and the time for which a
 * worker that rejected a task for lack of a slot is skipped, in milliseconds
 * @returns the score; a worker with 0 gets no task
 * @example
 * if (scoreWorker(node, worker, {slots: 8, repeatable: true, at}) > 0) startOn(worker);
 */
export function scoreWorker(node: Node, worker: Worker, options: {slots: number; repeatable: boolean; at: number; skipFullMs?: number}): number {
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
