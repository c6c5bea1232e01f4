import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';
import {type TaskBehaviour} from './worker-model.js';

const seeds = [1, 2, 3, 4, 5];

/** Creates a fleet in which the tasks of the jobs named crash their workers, and other jobs arrive all the time. */
function createCrashingFleet(seed: number, crashingJobs: readonly string[], workers = 10): FleetModel {
	const fleet = new FleetModel({
		seed,
		configuration: createConfiguration(),
		workers: createWorkers(workers),
		getBehaviour: (task): Partial<TaskBehaviour> => ({crashesWorker: crashingJobs.includes(task.split('.')[0] ?? '')}),
	});
	fleet.takeOver();
	for (let count = 0; count < 100; count++) {
		fleet.at(500 + (count * 100), () => {
			fleet.submit(createJob(`sound${count}`, {steps: [{count: 4, cpuMillis: 1500, estimatedMs: 700}]}));
		});
	}

	for (const [position, id] of crashingJobs.entries()) {
		fleet.at(2000 + (position * 700), () => {
			fleet.submit(createJob(id, {steps: [{count: 2, cpuMillis: 1500, estimatedMs: 700}]}));
		});
	}

	return fleet;
}

function assertOnlyFailed(fleet: FleetModel, crashingJobs: readonly string[], message: string): void {
	assert.deepEqual(fleet.checker.violations, [], message);
	assert.deepEqual(fleet.unfinishedJobs, [], message);
	const failed = [...fleet.storedJobs.values()].filter(({end}) => end?.state !== 'completed').map(({job}) => job.id);
	assert.deepEqual(failed, crashingJobs, message);
}

describe('tasks that crash their workers', () => {
	it('guards against starting a task again and again that crashes every worker, and completes the jobs beside it', () => {
		for (const seed of seeds) {
			const fleet = createCrashingFleet(seed, ['crashing']);
			fleet.runUntil(60_000);
			assertOnlyFailed(fleet, ['crashing'], `seed ${seed}`);
		}
	});

	it('guards against failing sound jobs while several jobs crash workers', () => {
		const crashingJobs = ['crashing0', 'crashing1', 'crashing2', 'crashing3', 'crashing4'];
		for (const seed of seeds) {
			const fleet = createCrashingFleet(seed, crashingJobs);
			fleet.runUntil(90_000);
			assertOnlyFailed(fleet, crashingJobs, `seed ${seed}`);
			assert.ok(Math.max(...fleet.checker.crashCounts.values()) <= 3, `seed ${seed}`);
		}
	});

	it('guards against sound tasks that wait for isolation on a small pool while most of it is idle', () => {
		const crashingJobs = Array.from({length: 8}, (_, position) => `crashing${position}`);
		for (const seed of seeds) {
			const fleet = createCrashingFleet(seed, crashingJobs, 4);
			fleet.at(6000, () => {
				fleet.killOwner();
				fleet.takeOver();
			});
			fleet.runUntil(45_000);
			assertOnlyFailed(fleet, crashingJobs, `seed ${seed}`);
		}
	});

	for (const takeOverTimes of [[2500], [6000], [4500, 9000], [3500, 5500, 7500, 9500]]) {
		it(`guards against forgetting crashes at takeovers: at ${takeOverTimes.join(', ')} ms`, () => {
			for (const seed of seeds) {
				const fleet = createCrashingFleet(seed, ['crashing0', 'crashing1']);
				for (const time of takeOverTimes) {
					fleet.at(time, () => {
						fleet.killOwner();
					});
					fleet.at(time + 500, () => {
						fleet.takeOver();
					});
				}

				fleet.runUntil(90_000);
				assertOnlyFailed(fleet, ['crashing0', 'crashing1'], `seed ${seed}`);
			}
		});
	}

	for (const event of ['worker-crashed', 'task-isolated']) {
		it(`guards against starting to count anew when the owner changes after every event ${event}`, () => {
			for (const seed of seeds) {
				const fleet = createCrashingFleet(seed, ['crashing']);
				let count = 0;
				for (let time = 2000; time < 60_000; time += 100) {
					fleet.at(time, () => {
						const logged = fleet.log.filter(entry => entry.event === event).length;
						if (logged > count) {
							count = logged;
							fleet.killOwner();
							fleet.takeOver();
						}
					});
				}

				fleet.runUntil(90_000);
				assertOnlyFailed(fleet, ['crashing'], `seed ${seed}`);
			}
		});
	}

	it('guards against counting lost runs of unreachable workers as crashes', () => {
		for (const seed of seeds) {
			const fleet = createCrashingFleet(seed, []);
			for (let round = 0; round < 4; round++) {
				const silent = [`w${(2 * round) + 1}`, `w${(2 * round) + 2}`];
				fleet.at(1000 + (round * 8000), () => {
					for (const worker of silent) {
						fleet.silentWorkers.add(worker);
					}
				});
				fleet.at(6500 + (round * 8000), () => {
					fleet.silentWorkers.clear();
				});
			}

			fleet.runUntil(60_000);
			assertOnlyFailed(fleet, [], `seed ${seed}`);
			assert.equal(fleet.log.filter(({event}) => event === 'worker-crashed').length, 0, `seed ${seed}`);
		}
	});

	it('guards against ending a long-running job because the workers that its task is alone on crash', () => {
		for (const seed of seeds) {
			const fleet = createCrashingFleet(seed, []);
			fleet.submit(createJob('lasting', {queue: 'watches', steps: [{count: 1, cpuMillis: 2000, longRunning: true}]}));
			for (let time = 1500; time < 40_000; time += 500) {
				fleet.at(time, () => {
					const task = fleet.owner?.scheduler.tasks.get('lasting.0.0.0');
					if (task?.state === 'running' && task.worker !== undefined) {
						fleet.restartWorker(task.worker.id, 500);
					}
				});
			}

			fleet.runUntil(60_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			assert.equal(fleet.storedJobs.get('lasting')?.end, undefined, `seed ${seed}`);
			assert.ok(fleet.checker.isRunning('lasting.0.0.0'), `seed ${seed}: the task does not run`);
		}
	});

	it('starts a long-running task again after unrelated crashes of its workers', () => {
		for (const seed of seeds) {
			const fleet = createCrashingFleet(seed, ['crashing0', 'crashing1', 'crashing2']);
			fleet.submit(createJob('lasting', {
				queue: 'watches', steps: [{
					count: 6, cpuMillis: 2000, longRunning: true, antiAffinity: 1,
				}],
			}));
			fleet.runUntil(60_000);
			assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
			for (let index = 0; index < 6; index++) {
				assert.ok(fleet.checker.isRunning(`lasting.0.0.${index}`), `seed ${seed}: task ${index} does not run`);
			}
		}
	});
});
