import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const capacity = {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0};

const limit = {cpuMillis: 4000};

/** Creates a fleet with four workers of the label `a` and eight spare instances, of which the last has the label given. */
function createFleet(lastLabel: string): FleetModel {
	const workers = createWorkers(4);
	const instances: ListedInstance[] = [
		...workers.map(({id, instance}) => ({
			id: instance, pool: 'planner', state: 'up' as const, availabilityZone: 'east', capacity, labels: ['a'], worker: id,
		})),
		...Array.from({length: 8}, (_, position) => ({
			id: `s${position}`, pool: 'reserve', state: 'up' as const, availabilityZone: 'east', capacity, labels: [position === 7 ? lastLabel : 'a'], worker: '',
		})),
	];
	const fleet = new FleetModel({
		seed: 1,
		configuration: createConfiguration({organisations: [{name: 'north', keys: ['key-north']}, {name: 'south', keys: ['key-south'], limit}]}),
		workers,
		instances,
	});
	fleet.takeOver();
	return fleet;
}

describe('growth of a pool for tasks that it cannot help', () => {
	it('guards against one instance after another for long-running tasks that wait for a label', () => {
		const fleet = createFleet('a');
		fleet.submit(createJob('lasting', {
			queue: 'watches', steps: [{
				count: 3, cpuMillis: 1000, longRunning: true, requirement: 'b',
			}],
		}));
		fleet.runUntil(15_000);
		assert.ok(fleet.moveCount <= 1, `${fleet.moveCount} moves`);
	});

	it('asks for instances while one of them could have the label', () => {
		const fleet = createFleet('b');
		fleet.submit(createJob('lasting', {
			queue: 'watches', steps: [{
				count: 3, cpuMillis: 1000, longRunning: true, requirement: 'b',
			}],
		}));
		fleet.runUntil(30_000);
		assert.ok(fleet.moveCount >= 1);
	});

	for (const longRunning of [true, false]) {
		it(`guards against instances for ${longRunning ? 'long-running' : 'short'} tasks that the upper limit of their organisation keeps waiting`, () => {
			const fleet = createFleet('a');
			fleet.submit(createJob('holder', {organisation: 'south', queue: 'watches', steps: [{count: 4, cpuMillis: 1000, longRunning: true}]}));
			fleet.runUntil(2000);
			const movesBefore = fleet.moveCount;
			for (let count = 0; count < 10; count++) {
				fleet.submit(createJob(`waiting${count}`, {
					organisation: 'south', acceptedAtMs: fleet.now, steps: [{
						count: 20, cpuMillis: 2000, estimatedMs: 5000, longRunning,
					}],
				}));
			}

			fleet.runUntil(15_000);
			assert.ok(fleet.moveCount - movesBefore <= 1, `${fleet.moveCount - movesBefore} moves`);
		});
	}
});
