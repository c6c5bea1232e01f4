import {type ReducerContext} from '../state/reducer-context.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {computeMedian} from './compute-median.js';
import {type InstanceSpeed} from './estimates.js';
import {getSpeed} from './get-speed.js';

/** Ratio of run times from which a run counts as slow, in log space; a worker that is 4 times slower exceeds it with nearly all of its tasks. */
const slowRatio = Math.log(2.5);

/** Ratio up to which a run counts as normal, in log space; tasks of one step differ by up to 30 %. */
const normalRatio = Math.log(1.8);

/** Log-likelihood ratio of a slow run: 95 in 100 on a slow worker, 3 in 100 on any other. */
const slowEvidence = Math.log(0.95 / 0.03);

/** Log-likelihood ratio of a normal run: 2 in 100 on a slow worker, 97 in 100 on any other. */
const normalEvidence = Math.log(0.02 / 0.97);

/** Evidence from which a worker is suspected: two slow runs without a normal one. A single one may be one of the few long tasks. */
const suspicionEvidence = 1.8 * slowEvidence;

/** Bound of the evidence, so that few normal runs outweigh it. */
const maximumEvidence = 3 * slowEvidence;

const maximumRatios = 8;

/** Tasks at once from which a worker has fully returned to service. */
const fullAllowance = 16;

/** Pause of a slow worker before its next task, by which it is tried. */
const trialPauseMs = 1000;

/**
 * Records how runs of a worker compare with their peers. A slow worker returns to service step by step: each normal run
 * doubles the number of tasks that it may have, and a slow one takes it back to a single task.
 *
 * @param context - the reducer context; its state is changed and an effect may be added
 * @param worker - the worker
 * @param judgements - tasks with the ratios of their run times to those of their peers, in log space
 * @example
 * recordJudgements(context, worker, [{task, ratio: Math.log(4), drift: undefined}]);
 */
export function recordJudgements(context: ReducerContext, worker: Worker, judgements: ReadonlyArray<{readonly task: Task; readonly ratio: number; readonly drift: number | undefined}>): void {
	if (judgements.length === 0) {
		return;
	}

	const {scheduler, now} = context;
	const speed = getSpeed(scheduler.estimates, worker);
	speed.judgedAt = now;
	speed.ratio = computeMedian(judgements.map(({ratio}) => ratio));
	const drifts = judgements.map(({drift}) => drift).filter(drift => drift !== undefined);
	speed.drift = drifts.length === 0 ? undefined : computeMedian(drifts);
	let change = 0;
	let hasSlowRun = false;
	for (const {task: {measurement}, ratio} of judgements) {
		if (ratio < normalRatio) {
			change += normalEvidence;
		} else if (ratio > slowRatio && measurement !== undefined && (!measurement.isSlow || speed.isSlow)) {
			// One of the few long tasks counts once, however long it runs.
			measurement.isSlow = true;
			hasSlowRun = true;
			change += slowEvidence;
			speed.ratios.push(ratio);
		}
	}

	speed.ratios.splice(0, speed.ratios.length - maximumRatios);
	speed.evidence = Math.min(maximumEvidence, Math.max(0, speed.evidence + change));
	if (speed.isSlow) {
		adjustAllowance(context, {
			worker, speed, isNormal: change < 0, hasSlowRun,
		});
	} else {
		speed.suspectedAt = speed.evidence < suspicionEvidence ? undefined : speed.suspectedAt ?? now;
	}
}

function adjustAllowance({effects, scheduler, now}: ReducerContext, options: {worker: Worker; speed: InstanceSpeed; isNormal: boolean; hasSlowRun: boolean}): void {
	const {worker, speed, isNormal, hasSlowRun} = options;
	if (isNormal) {
		speed.allowance *= 2;
		speed.pausedUntil = 0;
	} else if (hasSlowRun) {
		speed.allowance = 1;
		speed.pausedUntil = now + trialPauseMs;
		speed.slowAt = now;
	}

	if (speed.allowance >= fullAllowance) {
		speed.isSlow = false;
		speed.evidence = 0;
		speed.ratios.splice(0);
		scheduler.estimates.isDirty = true;
		effects.push({
			type: 'log', level: 'info', event: 'worker-speed-restored', fields: {worker: worker.id, instance: worker.instance, slowMs: Math.round(now - speed.slowAt)},
		});
	}
}
