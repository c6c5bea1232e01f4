import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const createLongRunningJob = (id: string, count: number, mayMiss: number) => createJob(id, {
	queue: 'watches',
	steps: [{
		count, cpuMillis: 2000, longRunning: true, mayMiss, antiAffinity: 1,
	}],
});

describe('unresponsive workers', () => {
	it('guards against renewing the lease of an unresponsive worker indefinitely, so that its tasks never start again', () => {
		const fleet = new FleetModel({seed: 1, configuration: createConfiguration(), workers: createWorkers(6)});
		fleet.takeOver();
		fleet.submit(createLongRunningJob('a', 4, 1));
		fleet.at(2000, () => {
			for (const worker of ['w1', 'w2']) {
				fleet.silentWorkers.add(worker);
			}
		});
		fleet.runUntil(10_500);
		assert.deepEqual(fleet.checker.violations, []);
		for (let index = 0; index < 4; index++) {
			assert.ok(fleet.checker.isRunning(`a.0.0.${index}`), `task ${index} does not run`);
		}
	});

	it('guards against relocating a long-running task while another one of its step is on an unresponsive worker', () => {
		const workers = createWorkers(6);
		const instances = workers.map((worker): ListedInstance => ({
			id: worker.instance, pool: 'planner', state: 'up', availabilityZone: worker.availabilityZone, capacity: worker.capacity, worker: worker.id,
		}));
		const fleet = new FleetModel({
			seed: 2, configuration: createConfiguration(), workers, instances,
		});
		fleet.takeOver();
		fleet.submit(createLongRunningJob('a', 5, 1));
		fleet.runUntil(3000);
		const unresponsive = workers.find(({id}) => (fleet.workers.get(id)?.running.length ?? 0) > 0);
		fleet.silentWorkers.add(unresponsive?.id ?? '');
		fleet.at(4500, () => {
			fleet.requestUpkeepWave({
				number: 1, instances: instances.filter(({worker}) => worker !== unresponsive?.id).map(({id}) => id), durationMs: 30_000, maximumDown: 3,
			});
		});
		fleet.runUntil(7500);
		assert.equal(fleet.log.filter(({event}) => event === 'task-relocated').length, 0);
	});
});
