import {orderRetryMs, takeoverSettlingMs, upkeepPatience} from './constants.js';
import {findWorkerOfInstance} from './find-worker-of-instance.js';
import {type Upkeep, type UpkeepState, type Wave} from './instance.js';
import {type Pass} from './pass.js';
import {relocateMember} from './relocate-member.js';
import {type Worker} from './scheduler.js';
import {stopMember} from './stop-member.js';

/** Part of a pool that may be closed to new tasks for upkeep at the same time. */
const closedPoolPart = 0.25;

/** Part of a wave's time during which pools without room are spared. */
const roomPatience = 0.4;

/** An instance that cannot be emptied within this time makes way for another one. */
const emptyingLimitMs = 9000;

type Step = {readonly wave: Wave; readonly upkeep: Upkeep; readonly worker: Worker | undefined};

const handlers: Record<UpkeepState, (pass: Pass, step: Step) => void> = {
	waiting(pass, {wave, upkeep, worker}) {
		if (countUnderWay(wave) >= wave.request.maximumDown || !isPresent(pass, upkeep)) {
			return;
		}

		if (worker === undefined) {
			if (pass.scheduler.instances.get(upkeep.instance)?.state === 'up') {
				requestUpkeep(pass, wave, upkeep);
			}

			return;
		}

		if (mayClose(pass, worker) && (hasRoom(pass, worker) || isPressed(pass, wave))) {
			worker.cordoned = true;
			changeState(pass, upkeep, 'emptying');
		}
	},
	emptying(pass, {wave, upkeep, worker}) {
		if (worker === undefined || worker.members.size === 0) {
			requestUpkeep(pass, wave, upkeep);
			return;
		}

		if (pass.now - upkeep.changedAt > emptyingLimitMs && !isUrgent(pass, wave)) {
			worker.cordoned = false;
			changeState(pass, upkeep, 'waiting');
			return;
		}

		for (const member of worker.members) {
			if (member.state !== 'running') {
				continue;
			}

			if (member.unit.definition.longRunning) {
				relocateMember(pass, member);
			} else if (isUrgent(pass, wave)) {
				stopMember(pass, member);
			}
		}
	},
	asking(pass, {wave, upkeep}) {
		if (pass.now - upkeep.changedAt > orderRetryMs) {
			requestUpkeep(pass, wave, upkeep);
		}
	},
	unclear() {
		// The list of instances tells why it is not up.
	},
	down() {
		// The list of instances tells when it is back.
	},
	done() {
		// Nothing is left to do.
	},
};

/**
 * Advances the waves of upkeep: empties instances within the budgets of the tasks that last, asks for their upkeep, and
 * says when a wave is completed.
 *
 * @param pass - the pass; its state is changed and effects are added
 * @example
 * advanceWaves(pass);
 */
export function advanceWaves(pass: Pass): void {
	for (const wave of pass.scheduler.waves.values()) {
		if (wave.completed) {
			publish(pass, wave, 'completed');
			continue;
		}

		publish(pass, wave, 'running');
		if (pass.scheduler.instancesAskedAt < pass.scheduler.tookOverAt + takeoverSettlingMs) {
			continue;
		}

		for (const upkeep of orderUpkeeps(pass, wave)) {
			const worker = findWorkerOfInstance(pass.scheduler, upkeep.instance);
			handlers[upkeep.state](pass, {wave, upkeep, worker});
		}

		wave.completed = [...wave.upkeeps.values()].every(({state}) => state === 'done');
	}
}

/** Instances that run least come first. */
function orderUpkeeps(pass: Pass, wave: Wave): Upkeep[] {
	const weigh = ({instance}: Upkeep): number => {
		const worker = findWorkerOfInstance(pass.scheduler, instance);
		return worker === undefined ? 0 : 1 + worker.used.cpuMillis;
	};

	return [...wave.upkeeps.values()]
		.filter(({state}) => state !== 'done' && state !== 'down')
		.map(upkeep => ({upkeep, weight: weigh(upkeep)}))
		.toSorted((left, right) => left.weight - right.weight)
		.map(({upkeep}) => upkeep);
}

function countUnderWay(wave: Wave): number {
	let count = 0;
	for (const {state} of wave.upkeeps.values()) {
		if (state !== 'waiting' && state !== 'done') {
			count++;
		}
	}

	return count;
}

/** Instances that have left the list need no upkeep any more. */
function isPresent(pass: Pass, upkeep: Upkeep): boolean {
	const {instances} = pass.scheduler;
	return instances.size > 0 && instances.has(upkeep.instance);
}

function mayClose(pass: Pass, worker: Worker): boolean {
	const service = worker.listing?.service;
	const pool = [...pass.scheduler.workers.values()].filter(({listing}) => listing?.service === service);
	const closed = pool.filter(({cordoned}) => cordoned).length;
	return closed < Math.max(1, Math.floor(pool.length * closedPoolPart));
}

/** Closing a worker costs callers least while its pool has more room than its tasks want. */
function hasRoom({scheduler}: Pass, worker: Worker): boolean {
	const pool = scheduler.poolLoads.get(worker.listing?.service ?? '');
	return pool === undefined || (pool.starving === 0 && pool.used + pool.wanted + worker.used.cpuMillis < pool.capacity);
}

function isPressed(pass: Pass, wave: Wave): boolean {
	return pass.now - wave.requestedAt > wave.request.durationMs * roomPatience;
}

function isUrgent(pass: Pass, wave: Wave): boolean {
	return pass.now - wave.requestedAt > wave.request.durationMs * upkeepPatience;
}

function requestUpkeep(pass: Pass, wave: Wave, upkeep: Upkeep): void {
	changeState(pass, upkeep, 'asking');
	pass.effects.push({type: 'upkeep', instance: upkeep.instance, wave: wave.request.number});
}

function changeState(pass: Pass, upkeep: Upkeep, state: UpkeepState): void {
	upkeep.state = state;
	upkeep.changedAt = pass.now;
}

function publish(pass: Pass, wave: Wave, state: 'running' | 'completed'): void {
	if (wave.published === state) {
		return;
	}

	wave.published = state;
	pass.effects.push({type: 'publish-wave', wave: wave.request.number, state});
}
