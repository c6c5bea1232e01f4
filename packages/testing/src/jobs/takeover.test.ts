import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {slowestClockRate} from '@rosemaryquay/core/jobs/state/constants';
import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';
import {type TaskBehaviour} from './worker-model.js';

describe('takeover of the schedule', () => {
	it('completes a job of two steps in order', () => {
		const fleet = new FleetModel({seed: 1, configuration: createConfiguration(), workers: createWorkers(4)});
		fleet.takeOver();
		fleet.submit(createJob('a', {
			steps: [{count: 3, cpuMillis: 2000, estimatedMs: 400}, {
				count: 2, cpuMillis: 2000, estimatedMs: 300, after: [0],
			}],
		}));
		fleet.runUntil(3000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.deepEqual(fleet.unfinishedJobs, []);
	});

	it('guards against starting a job again when a stale listing of the store arrives after its end', () => {
		const fleet = new FleetModel({seed: 2, configuration: createConfiguration(), workers: createWorkers(4)});
		fleet.takeOver();
		fleet.submit(createJob('a'));
		fleet.at(400, () => {
			fleet.deliverStaleListing(1500);
		});
		fleet.runUntil(5000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.equal(fleet.storedJobs.get('a')?.end?.state, 'completed');
	});

	it('takes over the running tasks after the owner has crashed, and starts none twice', () => {
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
		fleet.runUntil(12_000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.deepEqual(fleet.unfinishedJobs, []);
		assert.equal(Math.max(...fleet.checker.startCounts.values()), 1);
	});

	it('guards against abandoning tasks that ran before the takeover when the new owner is paused after requesting the workers\' reports', () => {
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
			fleet.runUntil(20_000);
			assert.deepEqual(fleet.checker.violations, [], `paused at ${pauseAt} ms`);
			assert.deepEqual(fleet.unfinishedJobs, []);
		}
	});

	it('guards against counting a failure twice when a worker reports it again to the next owner', () => {
		const fleet: FleetModel = new FleetModel({
			seed: 6,
			configuration: createConfiguration(),
			workers: createWorkers(4),
			getBehaviour: (task): Partial<TaskBehaviour> => ({fails: (fleet.checker.startCounts.get(task) ?? 0) === 0}),
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

		fleet.runUntil(20_000);
		assert.equal(fleet.storedJobs.get('a')?.end?.state, 'completed');
	});

	it('waits for the lease of a worker that went silent before a takeover', () => {
		const fleet = new FleetModel({seed: 4, configuration: createConfiguration(), workers: createWorkers(3)});
		fleet.takeOver();
		for (let count = 0; count < 6; count++) {
			fleet.submit(createJob(`j${count}`, {steps: [{count: 4, cpuMillis: 1500, estimatedMs: 4000}]}));
		}

		fleet.at(1000, () => {
			fleet.killOwner();
			fleet.silentWorkers.add('w1');
		});
		fleet.at(1500, () => {
			fleet.takeOver();
		});
		fleet.runUntil(40_000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.deepEqual(fleet.unfinishedJobs, []);
	});

	for (const {state, takeOverAt} of [{state: 'being moved', takeOverAt: 1500}, {state: 'in the spare pool', takeOverAt: 3000}]) {
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

			// The owner crashes before it can record that the worker is gone.
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
			fleet.runUntil(takeOverAt + 1500);
			assert.deepEqual(fleet.checker.violations, []);
			assert.deepEqual(fleet.unfinishedJobs, []);
		});
	}

	it('guards against exceeding an upper limit by tasks that still run on a worker that went silent before a takeover', () => {
		const configuration = createConfiguration({organisations: [{name: 'north', keys: ['key-north'], limit: {cpuMillis: 16_000}}, {name: 'south', keys: ['key-south']}]});
		const fleet = new FleetModel({seed: 8, configuration, workers: createWorkers(4)});
		fleet.takeOver();
		for (let count = 0; count < 4; count++) {
			fleet.submit(createJob(`first${count}`, {steps: [{count: 2, cpuMillis: 2000, estimatedMs: 3000}]}));
		}

		fleet.at(1000, () => {
			fleet.killOwner();
			fleet.silentWorkers.add('w1');
			fleet.silentWorkers.add('w2');
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
		fleet.runUntil(40_000);
		assert.deepEqual(fleet.checker.violations, []);
		assert.deepEqual(fleet.unfinishedJobs, []);
	});

	it('guards against placing tasks on a worker that still runs tasks of a job that was cancelled before the takeover', () => {
		for (let seed = 1; seed <= 10; seed++) {
			const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(2)});
			fleet.takeOver();
			fleet.submit(createJob('first', {steps: [{count: 4, cpuMillis: 7000, estimatedMs: 20_000}]}));
			fleet.at(1000, () => {
				fleet.killOwner();
				fleet.cancel('first');
				fleet.submit(createJob('second', {steps: [{count: 4, cpuMillis: 7000, estimatedMs: 300}]}));
			});
			fleet.at(1500, () => {
				fleet.takeOver();
			});
			fleet.runUntil(10_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
		}
	});

	it('guards against more orders than the link of a new owner bears, which all miss their time-outs', () => {
		for (let seed = 1; seed <= 5; seed++) {
			const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(40)});
			fleet.orderTransmissionMs = 5;
			fleet.takeOver();
			fleet.killOwner();
			for (let count = 0; count < 60; count++) {
				fleet.submit(createJob(`j${count}`, {steps: [{count: 8, cpuMillis: 1000, estimatedMs: 400}]}));
			}

			fleet.at(2000, () => {
				fleet.takeOver();
			});
			fleet.runUntil(15_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
			assert.equal(fleet.log.filter(({event, fields}) => event === 'start-refused' && fields.outcome === 'unanswered').length, 0, `seed ${seed}`);
		}
	});

	it('guards against forgetting a worker that had restarted, and not yet answered, when the list of holders was written', () => {
		const [last, additional, ...workers] = createWorkers(4).toReversed();
		const [restarted] = createWorkers(1, {startedAtMs: 2});
		assert.ok(last && additional && restarted);
		for (let seed = 1; seed <= 5; seed++) {
			const fleet = new FleetModel({seed, configuration: createConfiguration(), workers});
			fleet.takeOver();
			fleet.at(1000, () => {
				fleet.removeWorker('w1');
				fleet.silentWorkers.add('w1');
				fleet.addWorker(restarted);
				fleet.dispatch({type: 'worker-listed', worker: restarted});
				// A new worker makes the owner write its list of workers.
				fleet.addWorker(additional);
			});
			fleet.at(1500, () => {
				fleet.silentWorkers.delete('w1');
			});
			fleet.at(3000, () => {
				fleet.submit(createJob('a', {steps: [{count: 6, cpuMillis: 7000, estimatedMs: 4000}]}));
			});
			fleet.at(3200, () => {
				fleet.killOwner();
				fleet.silentWorkers.add('w1');
				fleet.addWorker(last);
			});
			fleet.at(3500, () => {
				fleet.takeOver();
			});
			fleet.runUntil(20_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
		}
	});

	it('guards against starting tasks again while a silent worker with a slow clock, idle for long before, still holds the lease of a former owner', () => {
		for (let seed = 1; seed <= 5; seed++) {
			const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(3)});
			for (const worker of fleet.workers.values()) {
				worker.clockRate = slowestClockRate;
			}

			fleet.takeOver();
			fleet.at(60_000, () => {
				fleet.submit(createJob('a', {steps: [{count: 6, cpuMillis: 4000, estimatedMs: 8000}]}));
			});
			fleet.at(60_020, () => {
				fleet.killOwner();
				fleet.silentWorkers.add('w1');
			});
			fleet.at(60_300, () => {
				fleet.takeOver();
			});
			fleet.runUntil(90_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
		}
	});

	for (const {state, takeOverAt} of [{state: 'running', takeOverAt: 1950}, {state: 'done', takeOverAt: 2500}]) {
		it(`guards against starting tasks of an occurrence again when the wall clock of the next owner is behind its due time: ${state}`, () => {
			for (let seed = 1; seed <= 5; seed++) {
				const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(4)});
				fleet.takeOver();
				fleet.submit(createJob('a', {
					repeatCount: 3, startAtMs: 1000, intervalMs: 700, steps: [{count: 2, cpuMillis: 1000, estimatedMs: 400}],
				}));
				fleet.at(takeOverAt - 50, () => {
					fleet.killOwner();
				});
				fleet.at(takeOverAt, () => {
					fleet.wallClockOffsetMs = -3000;
					fleet.takeOver();
				});
				fleet.runUntil(15_000);
				assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
				assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
				assert.equal(Math.max(...fleet.checker.startCounts.values()), 1, `seed ${seed}`);
			}
		});
	}

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
			// A new worker makes the owner write its list of workers again while w1 is not listed.
			fleet.at(1100, () => {
				fleet.addWorker(additional);
			});
			fleet.at(3000, () => {
				fleet.submit(createJob('second', {steps: [{count: 8, cpuMillis: 4000, estimatedMs: 2500}]}));
			});
			fleet.at(4000, () => {
				fleet.killOwner();
				fleet.silentWorkers.add('w1');
			});
			fleet.at(4200, () => {
				fleet.takeOver();
			});
			fleet.runUntil(20_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
		}
	});
});
