import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

describe('organisation at its upper limit', () => {
	it('guards against its waiting jobs keeping those of others from free workers', () => {
		const fleet = new FleetModel({
			seed: 1,
			configuration: createConfiguration({
				organisations: [{name: 'north', keys: [], limit: {cpuMillis: 2000, memoryMb: 0, accelerators: 0}}, {name: 'south', keys: []}],
			}),
			workers: createWorkers(4),
		});
		fleet.takeOver();
		fleet.runUntil(500);
		for (let position = 0; position < 30; position++) {
			fleet.submit(createJob(`north${position}`, {acceptedAtMs: 500, steps: [{count: 1, cpuMillis: 2000, estimatedMs: 500}]}));
		}

		fleet.runUntil(600);
		fleet.submit(createJob('south', {organisation: 'south', acceptedAtMs: 600, steps: [{count: 8, cpuMillis: 2000, estimatedMs: 500}]}));
		fleet.runUntil(2000);
		assert.equal(fleet.storedJobs.get('south')?.end?.state, 'completed');
		assert.deepEqual(fleet.checker.violations, []);
	});
});
