import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const workers = createWorkers(8);
const instances = workers.map((worker): ListedInstance => ({
	id: worker.instance, pool: 'planner', state: 'up', availabilityZone: worker.availabilityZone, capacity: worker.capacity, worker: worker.id,
}));

function createFleet(seed: number): FleetModel {
	const fleet = new FleetModel({
		seed, configuration: createConfiguration(), workers, instances,
	});
	fleet.takeOver();
	for (let count = 0; count < 3; count++) {
		fleet.submit(createJob(`lasting${count}`, {
			queue: 'watches',
			steps: [{
				count: 4, cpuMillis: 2000, longRunning: true, mayMiss: 1,
			}],
		}));
	}

	for (let time = 0; time < 20_000; time += 300) {
		fleet.at(time, () => {
			fleet.submit(createJob(`j${time}`));
		});
	}

	fleet.at(1000, () => {
		fleet.requestUpkeepWave({
			number: 1, instances: instances.map(({id}) => id), durationMs: 40_000, maximumDown: 2,
		});
	});
	return fleet;
}

describe('waves of upkeep', () => {
	it('reboots every instance without interrupting tasks that can end or be moved', () => {
		const fleet = createFleet(1);
		fleet.runUntil(60_000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.equal(fleet.waveStates.get(1), 'completed');
		assert.ok(fleet.peakDownCount <= 2, `${fleet.peakDownCount} were down`);
		assert.equal(fleet.log.filter(({event, fields}) => event === 'worker-tasks-lost' && fields.reason === 'upkeep').length, 0);
	});

	it('guards against exceeding the maximum of instances down when the owner changes during the wave', () => {
		for (let seed = 1; seed <= 20; seed++) {
			const fleet = createFleet(seed);
			for (let takeover = 1; takeover <= 4; takeover++) {
				fleet.at(1000 + (takeover * 1700) + (seed * 37), () => {
					fleet.killOwner();
				});
				fleet.at(1000 + (takeover * 1700) + (seed * 37) + 150, () => {
					fleet.takeOver();
				});
			}

			fleet.runUntil(80_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.ok(fleet.peakDownCount <= 2, `seed ${seed}: ${fleet.peakDownCount} were down`);
			assert.equal(fleet.waveStates.get(1), 'completed', `seed ${seed}`);
		}
	});

	it('guards against exceeding the maximum of instances down when answers are lost and a repeated order finds the instance down', () => {
		for (let seed = 1; seed <= 20; seed++) {
			const fleet = createFleet(seed);
			fleet.lostAnswersPerThousand = 300;
			fleet.at(40_000, () => {
				fleet.lostAnswersPerThousand = 0;
			});
			fleet.runUntil(80_000);
			assert.ok(fleet.peakDownCount <= 2, `seed ${seed}: ${fleet.peakDownCount} were down`);
			assert.equal(fleet.waveStates.get(1), 'completed', `seed ${seed}`);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
		}
	});

	it('guards against completing a wave whose instances were down for another wave only', () => {
		for (let seed = 1; seed <= 10; seed++) {
			const fleet = createFleet(seed);
			fleet.at(1000 + (seed * 150), () => {
				fleet.requestUpkeepWave({
					number: 2, instances: instances.slice(2).map(({id}) => id), durationMs: 40_000, maximumDown: 2,
				});
			});
			fleet.at(4000 + (seed * 200), () => {
				fleet.removeInstance('m8');
			});
			if (seed % 2 === 0) {
				fleet.at(3000 + (seed * 300), () => {
					fleet.killOwner();
				});
				fleet.at(3200 + (seed * 300), () => {
					fleet.takeOver();
				});
			}

			fleet.runUntil(100_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.equal(fleet.waveStates.get(1), 'completed', `seed ${seed}`);
			assert.equal(fleet.waveStates.get(2), 'completed', `seed ${seed}`);
		}
	});
});
