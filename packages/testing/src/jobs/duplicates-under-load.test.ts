import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const estimatedMs = 800;
const jobCount = 120;
const jobIntervalMs = 250;

/** Objective of a job of two steps: stretch 1.6 times the critical path, and 600 ms. */
const objectiveMs = (1.6 * 2 * estimatedMs) + 600;

type Result = {readonly inTime: number; readonly wastedPart: number; readonly duplicates: number};

/** Draws a number from 1 to 1000 for a key, the same in every run. */
function drawFor(key: string, seed: number): number {
	let hash = seed;
	for (const character of key) {
		hash = Math.trunc((hash * 31) + (character.codePointAt(0) ?? 0)) % 2_147_483_647;
	}

	return uniformInt(xoroshiro128plus(hash), 1, 1000);
}

/**
 * Simulates jobs of two steps of 8 tasks on workers of which one in eight is 6 times slower; 3 of 100 runs take 5 times as
 * long, and 2 of 100 tasks take 4 times as long in each of their runs, so that a duplicate of them is wasted.
 */
function simulateLoad(seed: number, allowDuplicates: boolean): Result {
	let work = 0;
	const cpuMillis = 1500;
	const fleet = new FleetModel({
		seed,
		configuration: createConfiguration(),
		workers: createWorkers(16),
		getBehaviour(task, _job, {worker, run}) {
			const base = estimatedMs * (0.75 + (drawFor(task, seed) / 2000));
			const ofRun = drawFor(`${task} ${run}`, seed) <= 30 ? 5 : 1;
			const ofTask = drawFor(`always ${task}`, seed) <= 20 ? 4 : 1;
			const ofWorker = worker === 'w3' || worker === 'w11' ? 6 : 1;
			return {durationMs: base * Math.max(ofRun, ofTask, ofWorker)};
		},
	});
	fleet.takeOver();
	for (let count = 0; count < jobCount; count++) {
		work += 16 * cpuMillis * estimatedMs;
		fleet.at(500 + (count * jobIntervalMs), () => {
			fleet.submit(createJob(`j${count}`, {
				acceptedAtMs: fleet.now, steps: [{
					count: 8, cpuMillis, memoryMb: 100, estimatedMs, allowDuplicates,
				}, {
					count: 8, cpuMillis, memoryMb: 100, estimatedMs, after: [0], allowDuplicates,
				}],
			}));
		});
	}

	fleet.runUntil((jobCount * jobIntervalMs) + 30_000);
	assert.deepEqual(fleet.checker.violations, []);
	assert.deepEqual(fleet.unfinishedJobs, []);
	const inTime = [...fleet.storedJobs.values()].filter(({job, end}) => (end?.endedAtMs ?? Number.POSITIVE_INFINITY) - job.acceptedAtMs <= objectiveMs).length;
	return {inTime, wastedPart: fleet.checker.wastedWork / work, duplicates: fleet.checker.duplicateCount};
}

describe('duplicate runs under load', () => {
	it('completes more jobs within their objective than without, and throws little work away', test => {
		for (const seed of [1, 2, 3]) {
			const without = simulateLoad(seed, false);
			const withDuplicates = simulateLoad(seed, true);
			test.diagnostic(`seed ${seed}: ${without.inTime} of ${jobCount} jobs in time without, ${withDuplicates.inTime} with ${withDuplicates.duplicates} duplicates; ${(100 * withDuplicates.wastedPart).toFixed(1)} % of the work thrown away`);
			assert.equal(without.duplicates, 0);
			assert.ok(withDuplicates.inTime > without.inTime, `seed ${seed}`);
			// The original of each duplicate that wins is thrown away; a twentieth of the cores is the bound for the duplicates themselves.
			assert.ok(withDuplicates.wastedPart < 0.25, `seed ${seed}`);
		}
	});
});
