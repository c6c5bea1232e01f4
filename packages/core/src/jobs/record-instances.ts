import {idleInstanceListIntervalMs, instanceListIntervalMs, takeoverSettlingMs} from './constants.js';
import {endLife} from './end-life.js';
import {findWorkerOfInstance} from './find-worker-of-instance.js';
import {type ListedInstance, type Upkeep, type Wave} from './instance.js';
import {type Pass} from './pass.js';
import {type Worker} from './scheduler.js';

/**
 * Takes in the list of instances. A worker that has not answered since has ended when its instance is listed without
 * it. An upkeep is over when a list that was read after its acceptance shows the instance up, or when the instance has
 * left the list.
 *
 * @param pass - the pass; its state is changed
 * @param answer - the whole list, and the local time at which it was asked for
 * @example
 * recordInstances(pass, {instances, askedAt});
 */
export function recordInstances(pass: Pass, answer: {instances: readonly ListedInstance[]; askedAt: number}): void {
	const {scheduler, now} = pass;
	const {instances, askedAt} = answer;
	scheduler.instancesReading = false;
	scheduler.instancesAskedAt = askedAt;
	scheduler.instances.clear();
	for (const instance of instances) {
		scheduler.instances.set(instance.id, instance);
	}

	const sparePools = new Set(scheduler.configuration.pools.filter(({spare}) => spare).map(({name}) => name));
	for (const worker of scheduler.workers.values()) {
		if (askedAt > worker.answeredAt && isReplaced(worker, scheduler.instances.get(worker.instance), sparePools)) {
			endLife(pass, worker, 'instance-replaced');
		}
	}

	let isBusy = scheduler.moves.size > 0;
	for (const wave of scheduler.waves.values()) {
		isBusy ||= !wave.completed;
		for (const upkeep of wave.upkeeps.values()) {
			recordState(pass, wave, {upkeep, askedAt});
		}
	}

	// What a former owner ordered last may show only after a while.
	const isSettled = askedAt >= scheduler.tookOverAt + takeoverSettlingMs;
	scheduler.instancesDueAt = isSettled ? now + (isBusy ? instanceListIntervalMs : idleInstanceListIntervalMs) : scheduler.tookOverAt + takeoverSettlingMs;
}

/** A worker ends when its instance moves or reboots; afterwards another one runs there, in a spare pool none. */
function isReplaced({id}: Worker, instance: ListedInstance | undefined, sparePools: ReadonlySet<string>): boolean {
	if (instance === undefined) {
		return false;
	}

	const {state, pool, worker} = instance;
	if (state === 'moving' || state === 'upkeep') {
		return true;
	}

	return worker === '' ? sparePools.has(pool) : state === 'up' && worker !== id;
}

function recordState(pass: Pass, wave: Wave, options: {upkeep: Upkeep; askedAt: number}): void {
	const {upkeep, askedAt} = options;
	const listed = pass.scheduler.instances.get(upkeep.instance);
	const isUnclear = upkeep.state === 'unclear' && askedAt > upkeep.changedAt;
	if ((upkeep.state === 'waiting' || isUnclear) && listed?.state === 'upkeep') {
		// A former owner, or an order without an answer, has asked for it.
		upkeep.state = 'down';
		upkeep.acceptedAt = askedAt;
		return;
	}

	if (isUnclear && listed !== undefined) {
		upkeep.state = 'waiting';
		upkeep.changedAt = pass.now;
		const worker = findWorkerOfInstance(pass.scheduler, upkeep.instance);
		if (worker !== undefined) {
			worker.cordoned = false;
		}
	}

	const isBack = upkeep.state === 'down' && askedAt > upkeep.acceptedAt && listed?.state === 'up';
	const isGone = listed === undefined && upkeep.state !== 'asking' && upkeep.state !== 'done';
	if (isBack || isGone) {
		upkeep.state = 'done';
		pass.scheduler.dirtyWaves.add(wave);
	}
}
