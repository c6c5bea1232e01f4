import {takeoverSettlingMs, forcedDrainFraction, instanceOrderTimeoutMs} from '../state/constants.js';
import {judgeOccupancy} from '../pools/judge-occupancy.js';
import {groupWorkersByInstance} from '../pools/group-workers-by-instance.js';
import {type Upkeep, type UpkeepState, type Wave} from '../state/instance.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {relocateTask} from '../placement/relocate-task.js';
import {type Task, type Worker} from '../state/scheduler.js';
import {stopTask} from '../runs/stop-task.js';
import {uncordonWorkers} from '../pools/uncordon-workers.js';

/** Fraction of a pool that may be cordoned for upkeep at the same time. */
const cordonedPoolFraction = 0.25;

/** Fraction of a wave's duration for which an instance may wait until its pool has spare capacity; afterwards it is drained without. */
const spareCapacityWaitFraction = 0.4;

/** Time after which the drain of an instance is abandoned so that another instance can take its place. */
const drainTimeoutMs = 9000;

type UpkeepContext = {
	readonly wave: Wave;
	readonly upkeep: Upkeep;
	/** Workers that may run tasks on the instance. */
	readonly workers: readonly Worker[];
};

const handlers: Record<UpkeepState, (context: ReducerContext, target: UpkeepContext) => void> = {
	pending(context, {wave, upkeep, workers}) {
		const occupancy = judgeOccupancy(workers, context.now);
		if (countInProgress(context, wave) >= wave.request.maximumDown || !isListed(context, upkeep) || occupancy === 'unknown') {
			return;
		}

		// An empty worker that the store does not list gets no tasks, so there is nothing to drain.
		if (occupancy === 'empty' && workers.every(({listing}) => listing === undefined)) {
			if (context.scheduler.instances.get(upkeep.instance)?.state === 'up') {
				requestUpkeep(context, wave, upkeep);
			}

			return;
		}

		if (workers.every(worker => mayCordon(context, worker) && (hasSpareCapacity(context, worker) || isSpareCapacityWaitOver(context, wave)))) {
			changeState(context, upkeep, 'draining');
			cordonWorkers(workers);
		}
	},
	draining(context, {wave, upkeep, workers}) {
		if (judgeOccupancy(workers, context.now) === 'empty') {
			requestUpkeep(context, wave, upkeep);
			return;
		}

		if (context.now - upkeep.changedAt > drainTimeoutMs && !isDrainForced(context, wave)) {
			changeState(context, upkeep, 'pending');
			uncordonWorkers(context.scheduler, upkeep.instance);
			return;
		}

		// A worker that has started again is not cordoned.
		cordonWorkers(workers);
		for (const {tasks} of workers) {
			for (const task of tasks) {
				drainTask(context, wave, task);
			}
		}
	},
	requested(context, {wave, upkeep, workers}) {
		cordonWorkers(workers);
		if (context.now > upkeep.retryAt) {
			upkeep.mayHaveBegun = true;
			requestUpkeep(context, wave, upkeep);
		}
	},
	unconfirmed() {
		// The next list of instances shows why the instance is not up.
	},
	down() {
		// The next list of instances shows whether the instance is up again.
	},
	done() {
		// Final state.
	},
};

/**
 * Advances the waves of upkeep: drains instances within the disruption budgets of long-running tasks, requests their
 * upkeep, and publishes when a wave is running or completed.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @example
 * advanceWaves(context);
 */
export function advanceWaves(context: ReducerContext): void {
	for (const wave of context.scheduler.waves.values()) {
		if (wave.completed) {
			publish(context, wave, 'completed');
			continue;
		}

		publish(context, wave, 'running');
		if (context.scheduler.instanceListRequestedAt < context.scheduler.tookOverAt + takeoverSettlingMs) {
			continue;
		}

		const workersByInstance = groupWorkersByInstance(context.scheduler, context.now);
		for (const upkeep of orderUpkeeps(wave, workersByInstance)) {
			handlers[upkeep.state](context, {wave, upkeep, workers: workersByInstance.get(upkeep.instance) ?? []});
		}

		wave.completed = [...wave.upkeeps.values()].every(({state}) => state === 'done');
	}
}

/** Orders upkeeps by the load of their instances, lowest first. */
function orderUpkeeps(wave: Wave, workersByInstance: ReadonlyMap<string, readonly Worker[]>): Upkeep[] {
	const measureLoad = ({instance}: Upkeep): number => (workersByInstance.get(instance) ?? []).reduce((load, {used}) => load + 1 + used.cpuMillis, 0);

	return [...wave.upkeeps.values()]
		.filter(({state}) => state !== 'done' && state !== 'down')
		.map(upkeep => ({upkeep, load: measureLoad(upkeep)}))
		.toSorted((left, right) => left.load - right.load)
		.map(({upkeep}) => upkeep);
}

/** Counts the instances of a wave that are down or are about to go down, including those that are down for another wave. */
function countInProgress({scheduler}: ReducerContext, wave: Wave): number {
	let count = 0;
	for (const {instance, state} of wave.upkeeps.values()) {
		if (state === 'done') {
			continue;
		}

		if (state !== 'pending' || scheduler.instances.get(instance)?.state === 'upkeep') {
			count++;
		}
	}

	return count;
}

/** An instance that has left the list needs no upkeep. */
function isListed(context: ReducerContext, upkeep: Upkeep): boolean {
	const {instances} = context.scheduler;
	return instances.size > 0 && instances.has(upkeep.instance);
}

function cordonWorkers(workers: readonly Worker[]): void {
	for (const worker of workers) {
		worker.cordoned = true;
	}
}

function drainTask(context: ReducerContext, wave: Wave, task: Task): void {
	if (task.state !== 'running') {
		return;
	}

	if (task.group.definition.longRunning) {
		relocateTask(context, task);
	} else if (isDrainForced(context, wave)) {
		stopTask(context, task);
	}
}

function mayCordon(context: ReducerContext, {service}: Worker): boolean {
	const poolWorkers = [...context.scheduler.workers.values()].filter(({listing}) => listing?.service === service);
	const cordonedCount = poolWorkers.filter(({cordoned}) => cordoned).length;
	return cordonedCount < Math.max(1, Math.floor(poolWorkers.length * cordonedPoolFraction));
}

/** Tells whether the rest of the pool can take over the load of a worker; cordoning it then delays callers least. */
function hasSpareCapacity({scheduler}: ReducerContext, worker: Worker): boolean {
	const poolLoad = scheduler.poolLoads.get(worker.service);
	return poolLoad === undefined || (poolLoad.unmetLongRunningNeeds === 0 && poolLoad.used + poolLoad.backlog + worker.used.cpuMillis < poolLoad.capacity);
}

function isSpareCapacityWaitOver(context: ReducerContext, wave: Wave): boolean {
	return context.now - wave.requestedAt > wave.request.durationMs * spareCapacityWaitFraction;
}

function isDrainForced(context: ReducerContext, wave: Wave): boolean {
	return context.now - wave.requestedAt > wave.request.durationMs * forcedDrainFraction;
}

function requestUpkeep(context: ReducerContext, wave: Wave, upkeep: Upkeep): void {
	changeState(context, upkeep, 'requested');
	upkeep.retryAt = context.now + instanceOrderTimeoutMs;
	context.effects.push({type: 'upkeep', instance: upkeep.instance, wave: wave.request.number});
}

function changeState(context: ReducerContext, upkeep: Upkeep, state: UpkeepState): void {
	upkeep.state = state;
	upkeep.changedAt = context.now;
}

function publish(context: ReducerContext, wave: Wave, state: 'running' | 'completed'): void {
	if (wave.published === state) {
		return;
	}

	wave.published = state;
	context.effects.push({type: 'publish-wave', wave: wave.request.number, state});
}
