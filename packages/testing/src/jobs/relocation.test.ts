import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

describe('long-running tasks in a full pool', () => {
	it('guards against stopping a long-running task for an upkeep when no other worker can take it', () => {
		const workers = createWorkers(3);
		const [{capacity} = {capacity: {cpuMillis: 0, memoryMb: 0, accelerators: 0}}] = workers;
		const instances: ListedInstance[] = workers.map(worker => ({
			id: worker.instance, pool: 'planner', state: 'up', availabilityZone: worker.availabilityZone, capacity, worker: worker.id,
		}));
		const fleet = new FleetModel({
			seed: 1, configuration: createConfiguration(), workers, instances,
		});
		fleet.takeOver();
		fleet.submit(createJob('a', {
			queue: 'watches',
			steps: [{
				count: 3, cpuMillis: 1000, longRunning: true, mayMiss: 1, antiAffinity: 1,
			}],
		}));
		fleet.at(2000, () => {
			fleet.requestUpkeepWave({
				number: 1, instances: ['m1'], durationMs: 8000, maximumDown: 1,
			});
		});
		fleet.runUntil(12_000);
		assert.equal(fleet.log.filter(({event}) => event === 'task-relocated').length, 0);
	});

	it('moves a spare instance into the pool for a long-running task that none of its workers can take', () => {
		const workers = createWorkers(2);
		const [{capacity} = {capacity: {cpuMillis: 0, memoryMb: 0, accelerators: 0}}] = workers;
		const instances: ListedInstance[] = [
			...workers.map((worker): ListedInstance => ({
				id: worker.instance, pool: 'planner', state: 'up', availabilityZone: worker.availabilityZone, capacity, worker: worker.id,
			})),
			{
				id: 'spare1', pool: 'reserve', state: 'up', availabilityZone: 'east', capacity, worker: '',
			},
		];
		const fleet = new FleetModel({
			seed: 1, configuration: createConfiguration(), workers, instances,
		});
		fleet.takeOver();
		fleet.submit(createJob('a', {
			queue: 'watches',
			steps: [{
				count: 3, cpuMillis: 1000, memoryMb: 20_000, longRunning: true,
			}],
		}));
		fleet.runUntil(6000);
		assert.ok(fleet.checker.isRunning('a.0.0.2'));
	});
});
