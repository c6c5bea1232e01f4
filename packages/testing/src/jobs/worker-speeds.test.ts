import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {drawFraction} from './draw-fraction.js';
import {FleetModel} from './fleet-model.js';

const taskMs = 1000;
const slowFrom = 6000;
const slowUntil = 16_000;
const endOfLoad = 30_000;

/** Runs a steady load on six workers at three quarters of their capacity; 3 in 100 tasks take 7 times as long. */
function createLoad(seed: number): FleetModel {
	const fleet = new FleetModel({
		seed, configuration: createConfiguration(), workers: createWorkers(6),
		getBehaviour: task => ({durationMs: taskMs * (0.8 + (0.4 * drawFraction(`${seed} ${task}`))) * (drawFraction(`${seed} ${task} slow`) < 0.03 ? 7 : 1)}),
	});
	fleet.takeOver();
	let count = 0;
	for (let at = 1000; at < endOfLoad; at += fleet.draw(150, 250)) {
		count++;
		const id = `j${count}`;
		const estimatedMs = taskMs * (2.5 ** ((2 * drawFraction(`${seed} ${id}`)) - 1));
		fleet.at(at, () => {
			fleet.submit(createJob(id, {acceptedAtMs: fleet.now, steps: [{count: 8, cpuMillis: 1500, estimatedMs}]}));
		});
	}

	return fleet;
}

function setSlowdown(fleet: FleetModel, ids: readonly string[], slowdown: number): void {
	for (const id of ids) {
		const worker = fleet.workers.get(id);
		assert.ok(worker);
		worker.slowdown = slowdown;
	}
}

function listEvents(fleet: FleetModel, event: string): Array<{at: number; worker: unknown}> {
	return fleet.log.filter(line => line.event === event).map(({at, fields}) => ({at, worker: fields.worker}));
}

/** Number of tasks on a worker at each tenth of a second. */
function sampleTasks(fleet: FleetModel, id: string, options: {from: number; until: number}): number[] {
	const samples: number[] = [];
	for (let at = options.from; at < options.until; at += 100) {
		fleet.at(at, () => {
			samples.push(fleet.owner?.scheduler.workers.get(id)?.tasks.size ?? 0);
		});
	}

	return samples;
}

describe('speeds of workers', () => {
	for (const slowdown of [4, 8]) {
		it(`guards against giving tasks to a worker that is ${slowdown} times slower, beyond the time of about one task`, () => {
			for (const seed of [1, 2, 3]) {
				const fleet = createLoad(seed);
				fleet.at(slowFrom, () => {
					setSlowdown(fleet, ['w2'], slowdown);
				});
				fleet.at(slowUntil, () => {
					setSlowdown(fleet, ['w2'], 1);
				});
				const whileSlow = sampleTasks(fleet, 'w2', {from: slowFrom + (taskMs * (slowdown + 2)), until: slowUntil});
				const afterwards = sampleTasks(fleet, 'w2', {from: endOfLoad - 3000, until: endOfLoad});
				fleet.runUntil(60_000);
				const slow = listEvents(fleet, 'worker-slow');
				assert.deepEqual(slow.filter(({worker}) => worker !== 'w2'), [], `seed ${seed}`);
				assert.ok(slow.some(({at}) => at > slowFrom && at <= slowFrom + (2.5 * taskMs)), `seed ${seed}: ${JSON.stringify(slow)}`);
				assert.ok(listEvents(fleet, 'worker-speed-restored').some(({at}) => at > slowUntil && at < endOfLoad), `seed ${seed}: returned to service`);
				assert.ok(whileSlow.every(count => count <= 1), `seed ${seed}: ${whileSlow.join(' ')}`);
				assert.ok(Math.max(...afterwards) >= 4, `seed ${seed}: ${afterwards.join(' ')}`);
				assert.deepEqual(fleet.checker.violations, []);
				assert.deepEqual(fleet.unfinishedJobs, []);
			}
		});
	}

	it('guards against blaming workers when the whole fleet is slow', () => {
		for (const seed of [1, 2, 3]) {
			const fleet = createLoad(seed);
			fleet.at(slowFrom, () => {
				setSlowdown(fleet, [...fleet.workers.keys()], 4);
			});
			fleet.runUntil(120_000);
			assert.deepEqual(listEvents(fleet, 'worker-slow'), [], `seed ${seed}`);
			assert.deepEqual(fleet.unfinishedJobs, []);
		}
	});

	it('guards against blaming a worker for the few long tasks', () => {
		for (const seed of [1, 2, 3, 4, 5, 6]) {
			const fleet = createLoad(seed);
			fleet.runUntil(60_000);
			assert.deepEqual(listEvents(fleet, 'worker-slow'), [], `seed ${seed}`);
		}
	});

	it('guards against full use of a slow instance after its worker has restarted under its id', () => {
		const fleet = createLoad(1);
		fleet.at(slowFrom, () => {
			setSlowdown(fleet, ['w2'], 8);
		});
		fleet.at(slowFrom + 4000, () => {
			fleet.restartWorker('w2', 500);
		});
		// By then a report of the new incarnation, which starts 0.5 s after the crash, has shown that its tasks have ended.
		const samples = sampleTasks(fleet, 'w2', {from: slowFrom + 4900, until: slowFrom + 5300});
		fleet.runUntil(60_000);
		assert.ok(samples.every(count => count <= 2), samples.join(' '));
		assert.ok(listEvents(fleet, 'worker-speed-restored').length > 0, 'the new incarnation is normal and returns to service');
		assert.deepEqual(fleet.checker.violations, []);
	});
});
