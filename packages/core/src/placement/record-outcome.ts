import {
	ejectionFailureRate, initialEjectionMs, failureRateWeight, maximumEjectedFraction, maximumEjectionMs, readmissionProbes,
} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type AttemptOutcome} from '../node/event.js';
import {type Node} from '../node/node.js';
import {type Worker} from './placement.js';

type Assessment = 'good' | 'bad' | 'neutral';

/** A rejection by a worker that can be reached says nothing about its health. */
const causeAssessments: Readonly<Record<Extract<AttemptOutcome, {type: 'not-started'}>['cause'], Assessment>> = {
	'connection-refused': 'bad',
	'slots-full': 'neutral',
	leaving: 'neutral',
	'lease-lapsed': 'neutral',
	duplicate: 'neutral',
	'checkpoint-unknown': 'neutral',
};

/** Assesses an outcome for the failure rate: an attempt that was started and did not succeed counts as a failure. */
function assess(outcome: AttemptOutcome): Assessment {
	if (outcome.type === 'not-started') {
		return causeAssessments[outcome.cause];
	}

	return outcome.type === 'succeeded' ? 'good' : 'bad';
}

function canEject(node: Node, pool: string): boolean {
	const subset = node.placement.subsets.get(pool);
	const size = subset === undefined ? 0 : subset.own.length + subset.other.length;
	const limit = size < 2 ? 0 : Math.max(1, Math.floor(size * maximumEjectedFraction));
	return (node.placement.ejected.get(pool)?.size ?? 0) < limit;
}

/** Sets the time of the next probe of an ejected worker; each consecutive ejection doubles the time until then. */
function startEjectionPeriod(node: Node, worker: Worker, at: number): void {
	const {pool} = worker.instance;
	const ejected = node.placement.ejected.get(pool) ?? new Set();
	ejected.delete(worker);
	ejected.add(worker);
	node.placement.ejected.set(pool, ejected);
	worker.ejectedUntil = at + Math.min(maximumEjectionMs, initialEjectionMs * (2 ** worker.ejections));
	worker.ejections += 1;
	worker.probesPassed = 0;
}

function recordProbe(node: Node, worker: Worker, good: boolean, at: number): Effect[] {
	if (!good) {
		startEjectionPeriod(node, worker, at);
		return [];
	}

	worker.probesPassed += 1;
	if (worker.probesPassed < readmissionProbes) {
		return [];
	}

	worker.health = 'healthy';
	worker.failureRate = 0;
	worker.reinstatedAt = at;
	node.placement.ejected.get(worker.instance.pool)?.delete(worker);
	return [{type: 'count', counter: 'worker.returned', subject: worker.instance.id}];
}

/**
 * Records the outcome of an attempt on a worker: ejects a worker that fails most of its attempts, unless
 * too many workers of its pool are ejected, and reinstates one that passes its probes.
 *
 * @param node - the node, updated in place
 * @param workerId - the worker; an unknown one is ignored
 * @param outcome - how the attempt ended
 * @param at - now, in milliseconds
 * @returns counts
 * @example
 * recordOutcome(node, 'w-1', {type: 'succeeded'}, at);
 */
export function recordOutcome(node: Node, workerId: string, outcome: AttemptOutcome, at: number): Effect[] {
	const worker = node.placement.workers.get(workerId);
	const assessment = assess(outcome);
	if (worker === undefined || assessment === 'neutral') {
		return [];
	}

	const good = assessment === 'good';
	if (worker.health === 'ejected') {
		// An attempt that was running when the worker was ejected does not count as a probe.
		return at < worker.ejectedUntil ? [] : recordProbe(node, worker, good, at);
	}

	worker.failureRate += failureRateWeight * ((good ? 0 : 1) - worker.failureRate);
	// Below the weight of a single failure, the worker counts as recovered: its next ejection is as short as the first.
	if (good && worker.failureRate < failureRateWeight) {
		worker.ejections = 0;
	}

	if (worker.failureRate < ejectionFailureRate || !canEject(node, worker.instance.pool)) {
		return [];
	}

	worker.health = 'ejected';
	startEjectionPeriod(node, worker, at);
	return [{type: 'count', counter: 'worker.ejected', subject: workerId}];
}
