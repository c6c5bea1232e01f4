import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type ListedInstance} from '@rosemaryquay/core/jobs/instance';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';
import {type Behaviour} from './worker-model.js';

describe('takeover of the schedule', () => {
	it('completes a job of two steps in order', () => {
		const fleet = new FleetModel({seed: 1, configuration: createConfiguration(), workers: createWorkers(4)});
		fleet.takeOver();
		fleet.submit(createJob('a', {
			steps: [{count: 3, cpuMillis: 2000, estimatedMs: 400}, {
				count: 2, cpuMillis: 2000, estimatedMs: 300, after: [0],
			}],
		}));
		fleet.run(3000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.deepEqual(fleet.unfinished, []);
	});

	it('guards against a job that starts again when an old reading of the store arrives after its end', () => {
		const fleet = new FleetModel({seed: 2, configuration: createConfiguration(), workers: createWorkers(4)});
		fleet.takeOver();
		fleet.submit(createJob('a'));
		fleet.at(400, () => {
			fleet.relist(1500);
		});
		fleet.run(5000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.equal(fleet.stored.get('a')?.end?.state, 'completed');
	});

	it('adopts what runs after its owner is killed, and starts nothing twice', () => {
		const fleet = new FleetModel({seed: 3, configuration: createConfiguration(), workers: createWorkers(4)});
		fleet.takeOver();
		for (let count = 0; count < 12; count++) {
			fleet.submit(createJob(`j${count}`, {steps: [{count: 4, cpuMillis: 1500, estimatedMs: 900}]}));
		}

		fleet.at(600, () => {
			fleet.killOwner();
		});
		fleet.at(3000, () => {
			fleet.takeOver();
		});
		fleet.run(12_000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.deepEqual(fleet.unfinished, []);
		assert.equal(Math.max(...fleet.checker.starts.values()), 1);
	});

	it('guards against giving up adopted tasks when the new owner is slow after it has asked the workers', () => {
		for (let pauseAt = 1001; pauseAt < 1015; pauseAt++) {
			const fleet = new FleetModel({seed: 5, configuration: createConfiguration(), workers: createWorkers(4)});
			fleet.takeOver();
			for (let count = 0; count < 8; count++) {
				fleet.submit(createJob(`j${count}`, {steps: [{count: 4, cpuMillis: 1500, estimatedMs: 3000}]}));
			}

			fleet.at(600, () => {
				fleet.killOwner();
			});
			fleet.at(1000, () => {
				fleet.takeOver();
			});
			fleet.at(pauseAt, () => {
				fleet.pauseOwner(300);
			});
			fleet.run(20_000);
			assert.deepEqual(fleet.checker.violations, [], `paused at ${pauseAt} ms`);
			assert.deepEqual(fleet.unfinished, []);
		}
	});

	it('guards against counting a failure twice when a worker shows it to the next owner again', () => {
		const fleet: FleetModel = new FleetModel({
			seed: 6,
			configuration: createConfiguration(),
			workers: createWorkers(4),
			behave: (task): Partial<Behaviour> => ({fails: (fleet.checker.starts.get(task) ?? 0) === 0}),
		});
		fleet.takeOver();
		fleet.submit(createJob('a', {maximumAttempts: 2}));
		fleet.configure(createConfiguration({
			version: 2,
			queues: [{
				name: 'plans', host: 'jobs.example', pathPrefix: '/plans/', service: 'planner', maximumAttempts: 2, stretch: 1.6, targetLatencyMs: 600,
			}],
		}));
		for (const time of [560, 600, 640]) {
			fleet.at(time, () => {
				fleet.killOwner();
				fleet.takeOver();
			});
		}

		fleet.run(20_000);
		assert.equal(fleet.stored.get('a')?.end?.state, 'completed');
	});

	it('waits for the lease of a worker that went silent before a takeover', () => {
		const fleet = new FleetModel({seed: 4, configuration: createConfiguration(), workers: createWorkers(3)});
		fleet.takeOver();
		for (let count = 0; count < 6; count++) {
			fleet.submit(createJob(`j${count}`, {steps: [{count: 4, cpuMillis: 1500, estimatedMs: 4000}]}));
		}

		fleet.at(1000, () => {
			fleet.killOwner();
			fleet.silent.add('w1');
		});
		fleet.at(1500, () => {
			fleet.takeOver();
		});
		fleet.run(40_000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.deepEqual(fleet.unfinished, []);
	});

	for (const {state, takeOverAt} of [{state: 'on its way', takeOverAt: 1500}, {state: 'in the spare pool', takeOverAt: 3000}]) {
		it(`guards against waiting for a worker whose instance the former owner has moved: ${state}`, () => {
			const workers = createWorkers(4);
			const instances: ListedInstance[] = workers.map(({id, instance, service, availabilityZone, capacity}) => ({
				id: instance, pool: service, state: 'up', availabilityZone, capacity, worker: id,
			}));
			const fleet = new FleetModel({
				seed: 7, configuration: createConfiguration(), workers, instances,
			});
			fleet.takeOver();
			for (let count = 0; count < 8; count++) {
				fleet.submit(createJob(`first${count}`, {steps: [{count: 4, cpuMillis: 2000, estimatedMs: 400}]}));
			}

			// Cut from the store, the owner cannot record that the worker is gone.
			fleet.at(1000, () => {
				fleet.killOwner();
				fleet.moveInstance('m1', 'reserve');
			});
			fleet.at(takeOverAt - 300, () => {
				fleet.submit(createJob('second'));
			});
			fleet.at(takeOverAt, () => {
				fleet.takeOver();
			});
			fleet.run(takeOverAt + 1500);
			assert.deepEqual(fleet.checker.violations, []);
			assert.deepEqual(fleet.unfinished, []);
		});
	}

	it('guards against exceeding an upper limit by tasks that run unseen on a worker that went silent before a takeover', () => {
		const configuration = createConfiguration({organisations: [{name: 'north', keys: ['key-north'], limit: {cpuMillis: 16_000}}, {name: 'south', keys: ['key-south']}]});
		const fleet = new FleetModel({seed: 8, configuration, workers: createWorkers(4)});
		fleet.takeOver();
		for (let count = 0; count < 4; count++) {
			fleet.submit(createJob(`first${count}`, {steps: [{count: 2, cpuMillis: 2000, estimatedMs: 3000}]}));
		}

		fleet.at(1000, () => {
			fleet.killOwner();
			fleet.silent.add('w1');
			fleet.silent.add('w2');
		});
		fleet.at(1200, () => {
			for (let count = 0; count < 8; count++) {
				fleet.submit(createJob(`second${count}`, {steps: [{count: 2, cpuMillis: 2000, estimatedMs: 500}]}));
			}
		});
		fleet.at(1500, () => {
			fleet.takeOver();
		});
		fleet.at(1600, () => {
			for (let count = 0; count < 8; count++) {
				fleet.submit(createJob(`third${count}`, {steps: [{count: 2, cpuMillis: 2000, estimatedMs: 500}]}));
			}
		});
		fleet.run(40_000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.deepEqual(fleet.unfinished, []);
	});

	it('guards against forgetting a worker that the store did not list during a takeover', () => {
		const [additional, ...workers] = createWorkers(3).toReversed();
		assert.ok(additional);
		for (let seed = 1; seed <= 10; seed++) {
			const fleet = new FleetModel({seed, configuration: createConfiguration(), workers});
			fleet.takeOver();
			fleet.submit(createJob('first', {steps: [{count: 8, cpuMillis: 4000, estimatedMs: 200}]}));
			fleet.at(1000, () => {
				fleet.killOwner();
				fleet.takeOver();
				fleet.dispatch({type: 'worker-unlisted', id: 'w1'});
			});
			// A new worker makes the owner record its workers again while the other one is not listed.
			fleet.at(1100, () => {
				fleet.addWorker(additional);
			});
			fleet.at(3000, () => {
				fleet.submit(createJob('second', {steps: [{count: 8, cpuMillis: 4000, estimatedMs: 2500}]}));
			});
			fleet.at(4000, () => {
				fleet.killOwner();
				fleet.silent.add('w1');
			});
			fleet.at(4200, () => {
				fleet.takeOver();
			});
			fleet.run(20_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.deepEqual(fleet.unfinished, [], `seed ${seed}`);
		}
	});
});
