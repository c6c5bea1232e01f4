import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';
import {type Moment, simulateDuplicates} from './simulate-duplicates.js';
import {type TaskBehaviour} from './worker-model.js';

/** Seeds of each case. */
const seedsPerMoment = 30;

const moments: readonly Moment[] = ['decision', 'order', 'answer', 'end', 'none'];

const stragglerMs = 2500;
const task = 'a.0.0.0';

/** Creates a fleet with a job of four tasks of 400 ms, of which the first run of the first task is a straggler. */
function createStraggler(options: {workers?: number; cpuMillis?: number; allowDuplicates?: boolean; behaviour?: (run: number) => Partial<TaskBehaviour>} = {}): FleetModel {
	const {workers = 6, cpuMillis = 2000, allowDuplicates = true, behaviour = () => ({})} = options;
	const fleet = new FleetModel({
		seed: 1,
		configuration: createConfiguration(),
		workers: createWorkers(workers),
		getBehaviour: (id, _job, {run}) => id === task ? {durationMs: run === 1 ? stragglerMs : 400, ...behaviour(run)} : {},
	});
	fleet.takeOver();
	fleet.at(100, () => {
		fleet.submit(createJob('a', {
			acceptedAtMs: fleet.now, steps: [{
				count: 4, cpuMillis, memoryMb: 100, estimatedMs: 400, antiAffinity: 1, allowDuplicates,
			}],
		}));
	});
	return fleet;
}

function findDuplicate(fleet: FleetModel): {worker: string; originalWorker: string; at: number} | undefined {
	const entry = fleet.log.find(({event}) => event === 'duplicate-started');
	return entry === undefined ? undefined : {worker: String(entry.fields.worker), originalWorker: String(entry.fields.originalWorker), at: entry.at};
}

/** Runs until the duplicate is started, and some time further. */
function runUntilDuplicate(fleet: FleetModel, furtherMs: number) {
	for (let at = 100; findDuplicate(fleet) === undefined && at < stragglerMs; at += 5) {
		fleet.runUntil(at);
	}

	const duplicate = findDuplicate(fleet);
	assert.ok(duplicate);
	fleet.runUntil(duplicate.at + furtherMs);
	return duplicate;
}

function listOutcomes(fleet: FleetModel): unknown[] {
	return fleet.log.filter(({event}) => event === 'duplicate-ended').map(({fields}) => fields.outcome);
}

function assertCompleted(fleet: FleetModel): number {
	assert.deepEqual(fleet.checker.violations, []);
	assert.deepEqual(fleet.unfinishedJobs, []);
	assert.equal(fleet.checker.runningCount, 0);
	const end = fleet.storedJobs.get('a')?.end;
	assert.equal(end?.state, 'completed');
	return end?.endedAtMs ?? Number.NaN;
}

describe('duplicate runs', () => {
	for (const moment of moments) {
		it(`guards against broken guarantees when owners are killed at the moment: ${moment}`, () => {
			let duplicates = 0;
			for (let seed = 1; seed <= seedsPerMoment; seed++) {
				const fleet = simulateDuplicates(seed, moment);
				assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
				assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
				assert.equal(fleet.checker.runningCount, 0, `seed ${seed}`);
				duplicates += fleet.checker.duplicateCount;
			}

			assert.ok(duplicates > seedsPerMoment);
		});
	}

	it('completes a straggler earlier than without', () => {
		const [without, withDuplicates] = [false, true].map(allowDuplicates => {
			const fleet = createStraggler({allowDuplicates});
			fleet.runUntil(6000);
			return {fleet, endedAt: assertCompleted(fleet)};
		});
		assert.ok(without && withDuplicates);
		assert.equal(without.fleet.checker.duplicateCount, 0);
		assert.equal(withDuplicates.fleet.checker.duplicateCount, 1);
		assert.ok(withDuplicates.endedAt < without.endedAt - 1000, `${withDuplicates.endedAt} and ${without.endedAt} ms`);
		assert.deepEqual(listOutcomes(withDuplicates.fleet), ['duplicate-won']);
	});

	it('guards against duplicates on a full service, whose waiting tasks need the capacity', () => {
		const fleet = createStraggler();
		fleet.at(150, () => {
			for (let count = 0; count < 30; count++) {
				fleet.submit(createJob(`b${count}`, {acceptedAtMs: fleet.now, steps: [{count: 4, cpuMillis: 4000, estimatedMs: 600}]}));
			}
		});
		fleet.runUntil(2000);
		assert.equal(findDuplicate(fleet), undefined);
		fleet.runUntil(20_000);
		assertCompleted(fleet);
	});

	it('guards against duplicates that exceed their part of the cores', () => {
		const fleet = createStraggler({cpuMillis: 5000});
		fleet.runUntil(6000);
		assert.equal(findDuplicate(fleet), undefined);
		assertCompleted(fleet);
	});

	it('guards against a duplicate of the last attempt, which could fail once too often', () => {
		const fleet = createStraggler({behaviour: run => run < 3 ? {durationMs: 50, fails: true} : {durationMs: stragglerMs}});
		fleet.runUntil(6000);
		assert.equal(findDuplicate(fleet), undefined);
		assertCompleted(fleet);
	});

	it('guards against a duplicate that goes on after the first run has ended while its start was unanswered', () => {
		const fleet = createStraggler({behaviour: run => run === 1 ? {durationMs: 1000} : {durationMs: 5000}});
		for (let at = 100; findDuplicate(fleet) === undefined && at < 1000; at++) {
			fleet.runUntil(at);
		}

		const duplicate = findDuplicate(fleet);
		assert.ok(duplicate);
		// The order is under way, and no answer arrives before the first run has ended.
		fleet.silentWorkers.add(duplicate.worker);
		fleet.at(1150, () => {
			fleet.silentWorkers.delete(duplicate.worker);
		});
		fleet.runUntil(8000);
		assert.deepEqual(listOutcomes(fleet), ['original-won']);
		assertCompleted(fleet);
	});

	it('guards against losing the task when the worker of its duplicate crashes', () => {
		const fleet = createStraggler({behaviour: run => run === 1 ? {durationMs: 4500} : {durationMs: 1500}});
		const duplicate = runUntilDuplicate(fleet, 100);
		fleet.removeWorker(duplicate.worker);
		fleet.runUntil(12_000);
		assert.equal(listOutcomes(fleet)[0], 'duplicate-without-result');
		assertCompleted(fleet);
	});

	it('guards against losing the duplicate when the worker of the first run starts again under its id', () => {
		const fleet = createStraggler({behaviour: run => run === 1 ? {durationMs: 6000} : {durationMs: 2000}});
		const duplicate = runUntilDuplicate(fleet, 100);
		fleet.restartWorker(duplicate.originalWorker, 300);
		fleet.runUntil(12_000);
		assert.deepEqual(listOutcomes(fleet), ['original-without-result']);
		assertCompleted(fleet);
		assert.equal(fleet.checker.startCounts.get(task), 2);
	});

	it('starts a duplicate of a run whose worker is silent', () => {
		const fleet = createStraggler();
		fleet.at(200, () => {
			for (const [id, worker] of fleet.workers) {
				if (worker.running.includes(task)) {
					fleet.silentWorkers.add(id);
				}
			}
		});
		fleet.runUntil(3000);
		assert.ok(assertEnded(fleet) < 3000);
		fleet.silentWorkers.clear();
		fleet.runUntil(8000);
		assertCompleted(fleet);
	});

	it('guards against runs that go on after the cancellation of their job', () => {
		const fleet = createStraggler({behaviour: () => ({durationMs: 20_000})});
		const {at} = runUntilDuplicate(fleet, 100);
		fleet.cancel('a');
		fleet.runUntil(at + 1500);
		assert.equal(fleet.checker.runningCount, 0);
		assert.equal(fleet.storedJobs.get('a')?.end?.state, 'cancelled');
	});

	it('guards against losing either run at a takeover, and stops the one that loses', () => {
		const fleet = createStraggler({behaviour: run => run === 1 ? {durationMs: 8000} : {durationMs: 2500}});
		runUntilDuplicate(fleet, 100);
		fleet.killOwner();
		fleet.at(fleet.now + 400, () => {
			fleet.takeOver();
		});
		fleet.runUntil(12_000);
		assert.equal(fleet.checker.startCounts.get(task), 2);
		assert.equal(fleet.log.filter(({event}) => event === 'duplicate-adopted').length, 1);
		assertCompleted(fleet);
	});
});

function assertEnded(fleet: FleetModel): number {
	const end = fleet.storedJobs.get('a')?.end;
	assert.equal(end?.state, 'completed');
	return end?.endedAtMs ?? Number.NaN;
}
