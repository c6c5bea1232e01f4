import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const workers = createWorkers(8);
const taskCount = 16;
const waveAt = 6000;
const stoppedAt = 7000;

/**
 * Creates a fleet with two long-running tasks of one step on each worker, of which one may be missing. During a wave of upkeep, the
 * owner changes while the workers of the wave are silent.
 */
function createFleet(seed: number, {silentMs}: {silentMs: number}): FleetModel {
	const fleet = new FleetModel({
		seed,
		configuration: createConfiguration(),
		workers,
		instances: workers.map((worker): ListedInstance => ({
			id: worker.instance, pool: 'planner', state: 'up', availabilityZone: worker.availabilityZone, capacity: worker.capacity, worker: worker.id,
		})),
	});
	fleet.takeOver();
	fleet.submit(createJob('lasting', {
		queue: 'watches',
		steps: [{
			count: taskCount, cpuMillis: 2000, longRunning: true, antiAffinity: 2, mayMiss: 1,
		}],
	}));
	fleet.at(waveAt, () => {
		fleet.requestUpkeepWave({
			number: 1, instances: ['m1', 'm2', 'm3'], durationMs: 26_000, maximumDown: 1,
		});
	});
	fleet.at(stoppedAt, () => {
		fleet.killOwner();
		for (const id of ['w1', 'w2', 'w3', 'w4']) {
			fleet.silentWorkers.add(id);
		}
	});
	fleet.at(stoppedAt + 300, () => {
		fleet.takeOver();
	});
	fleet.at(stoppedAt + silentMs, () => {
		fleet.silentWorkers.clear();
	});
	return fleet;
}

/** Counts the tasks that run now. */
function countRunning(fleet: FleetModel): number {
	return Array.from({length: taskCount}, (_, index) => `lasting.0.0.${index}`).filter(task => fleet.checker.isRunning(task)).length;
}

describe('upkeep after a change of the owner, of instances whose workers have not answered yet', () => {
	for (const silentMs of [500, 1000, 2000]) {
		it(`guards against ending tasks at work that the new owner does not know of: silent for ${silentMs} ms`, () => {
			for (let seed = 1; seed <= 5; seed++) {
				const fleet = createFleet(seed, {silentMs});
				for (let at = stoppedAt; at < stoppedAt + silentMs + 4000; at += 100) {
					fleet.runUntil(at);
					assert.ok(countRunning(fleet) >= taskCount - 1, `seed ${seed}: ${countRunning(fleet)} of ${taskCount} tasks run at ${at} ms`);
				}
			}
		});
	}

	it('guards against a wave that silent workers hold up for longer than a lease may last', () => {
		const fleet = createFleet(1, {silentMs: 60_000});
		fleet.runUntil(stoppedAt + 20_000);
		assert.ok(fleet.peakDownCount > 0);
	});

	it('guards against a wave that waits for the leases of workers that are gone', () => {
		const fleet = createFleet(1, {silentMs: 60_000});
		for (const id of ['w1', 'w2', 'w3', 'w4']) {
			fleet.at(stoppedAt, () => {
				fleet.removeWorker(id);
			});
		}

		fleet.runUntil(stoppedAt + 4500);
		assert.ok(fleet.peakDownCount > 0);
	});

	for (const backMs of [500, 1500, 2000]) {
		it(`guards against ending tasks at work on workers whose entries are away for ${backMs} ms around a takeover`, () => {
			const fleet = createFleet(1, {silentMs: backMs});
			fleet.at(stoppedAt, () => {
				fleet.unlistWorker('w1');
				fleet.unlistWorker('w2');
			});
			fleet.at(stoppedAt + backMs, () => {
				fleet.unlistedWorkers.clear();
			});
			for (let at = stoppedAt; at < stoppedAt + 6000; at += 100) {
				fleet.runUntil(at);
				assert.ok(countRunning(fleet) >= taskCount - 1, `${countRunning(fleet)} of ${taskCount} tasks run at ${at} ms`);
			}
		});
	}
});
