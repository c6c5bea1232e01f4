import {type ReducerContext} from '../state/reducer-context.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';
import {computeInterval} from './compute-interval.js';
import {computeMedian} from './compute-median.js';
import {type InstanceSpeed} from './estimates.js';
import {findPeerRunTime} from './find-peer-run-time.js';
import {getSpeed} from './get-speed.js';

/** Time in which peers report before a suspected worker is judged: one interval of reports. */
const confirmationMs = 650;

/** Time without reports of peers after which a suspicion is dropped. */
const suspicionMs = 2500;

/** Ratio to the run times of peers from which a worker is slow, in log space; workers that are 4 times slower exceed it. */
const slowRatio = Math.log(2.5);

/** Largest fraction of the workers of a service that may be held back as slow; the rest serves the load. */
const maximumSlowFraction = 0.25;

/** Pause of a slow worker before its next task, by which it is tried. */
const trialPauseMs = 1000;

/**
 * Decides on suspected workers once their peers have reported: a worker is slow only if it is much slower than its peers
 * in the same seconds. When they are slow as well, nobody is to blame.
 *
 * @param context - the reducer context; its state is changed and effects may be added
 * @example
 * confirmSlowWorkers(context);
 */
export function confirmSlowWorkers(context: ReducerContext): void {
	const {scheduler, now} = context;
	const {estimates} = scheduler;
	for (const worker of scheduler.workers.values()) {
		if (estimates.speeds.size === 0) {
			return;
		}

		const speed = estimates.speeds.get(worker.instance === '' ? worker.id : worker.instance);
		if (speed?.suspectedAt === undefined || speed.isSlow || now - speed.suspectedAt < confirmationMs || worker.listing === undefined) {
			continue;
		}

		decide(context, {worker, speed, suspectedAt: speed.suspectedAt});
	}
}

function decide({scheduler, now, effects}: ReducerContext, {worker, speed, suspectedAt}: {worker: Worker; speed: InstanceSpeed; suspectedAt: number}): void {
	const {peers, count, slowCount} = listPeers(scheduler.workers.values(), worker, other => getSpeed(scheduler.estimates, other));
	const present = peers.filter(({judgedAt}) => judgedAt >= suspectedAt);
	const ratios = present.map(({ratio}) => ratio);
	const drifts = present.map(({drift}) => drift).filter(drift => drift !== undefined);
	const needed = Math.min(2, count);
	if (needed === 0 || ratios.length < needed || !areRunsSlow(scheduler, worker, now)) {
		if (now - suspectedAt > suspicionMs) {
			dropSuspicion(speed);
		}

		return;
	}

	// When the whole fleet has become slower, peers that are compared with each other look normal, and what was learned is outdated.
	const ofPeers = Math.max(computeMedian(ratios), computeMedian(drifts));
	const ratio = computeMedian(speed.ratios) - ofPeers;
	if (ratio < slowRatio || slowCount + 1 > Math.max(1, (count + 1) * maximumSlowFraction)) {
		dropSuspicion(speed);
		return;
	}

	speed.isSlow = true;
	speed.suspectedAt = undefined;
	speed.allowance = 1;
	speed.pausedUntil = now + trialPauseMs;
	speed.slowAt = now;
	scheduler.estimates.isDirty = true;
	effects.push({
		type: 'log', level: 'warn', event: 'worker-slow', fields: {
			worker: worker.id, instance: worker.instance, speed: roundRatio(-computeMedian(speed.ratios)), peerSpeed: roundRatio(-ofPeers), peers: ratios.length, suspectedMs: Math.round(now - suspectedAt),
		},
	});
}

/** Tells whether at least half of the runs that have gone on for long enough are slow; a worker may have a few long tasks beside normal ones that are due to be judged again. */
function areRunsSlow(scheduler: Scheduler, worker: Worker, now: number): boolean {
	let count = 0;
	let slowCount = 0;
	for (const task of worker.tasks) {
		const expected = task.measurement === undefined || task.state !== 'running' ? undefined : findPeerRunTime(scheduler, task)?.expected;
		if (expected !== undefined && task.measurement !== undefined && now - task.measurement.startedAt >= computeInterval(expected)) {
			count++;
			slowCount += Number(task.measurement.isSlow);
		}
	}

	return slowCount * 2 >= count;
}

function listPeers(workers: Iterable<Worker>, worker: Worker, find: (other: Worker) => InstanceSpeed): {peers: InstanceSpeed[]; count: number; slowCount: number} {
	const peers: InstanceSpeed[] = [];
	let slowCount = 0;
	for (const other of workers) {
		if (other === worker || other.listing?.service !== worker.listing?.service) {
			continue;
		}

		const speed = find(other);
		peers.push(speed);
		slowCount += Number(speed.isSlow);
	}

	return {peers: peers.filter(({isSlow}) => !isSlow), count: peers.length, slowCount};
}

function dropSuspicion(speed: InstanceSpeed): void {
	speed.evidence = 0;
	speed.suspectedAt = undefined;
	speed.ratios.splice(0);
}

/** Speed relative to what is expected, with two decimals. */
function roundRatio(logarithm: number): number {
	return Math.round(Math.exp(logarithm) * 100) / 100;
}
