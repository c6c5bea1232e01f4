import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Simulates jobs of one kind together with plain ones, with a change of owner half-way. */
function simulateTaskKind(seed: number, create: (id: string, at: number) => ReturnType<typeof createJob>): FleetModel {
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(6)});
	fleet.takeOver();
	for (let at = 0; at < 6000; at += 400) {
		fleet.at(at, () => {
			fleet.submit(create(`kind${at}`, at));
			fleet.submit(createJob(`plain${at}`, {acceptedAtMs: at}));
		});
	}

	fleet.at(3000 + (seed * 37), () => {
		fleet.killOwner();
	});
	fleet.at(4600 + (seed * 37), () => {
		fleet.takeOver();
	});
	fleet.runUntil(40_000);
	return fleet;
}

const createScheduledJob = (id: string, acceptedAtMs: number) => createJob(id, {
	acceptedAtMs, repeatCount: 3, startAtMs: acceptedAtMs + 1000, intervalMs: 700, steps: [{count: 2, cpuMillis: 1000, estimatedMs: 400}],
});

const kinds: Record<string, (id: string, at: number) => ReturnType<typeof createJob>> = {
	gang: (id, acceptedAtMs) => createJob(id, {
		acceptedAtMs, steps: [{
			count: 4, cpuMillis: 4000, estimatedMs: 600, gang: true,
		}],
	}),
	'gang on one rack': (id, acceptedAtMs) => createJob(id, {
		acceptedAtMs, steps: [{
			count: 4, cpuMillis: 4000, estimatedMs: 600, gang: true, sameRack: true,
		}],
	}),
	'anti-affinity': (id, acceptedAtMs) => createJob(id, {
		acceptedAtMs, steps: [{
			count: 5, cpuMillis: 1000, estimatedMs: 700, antiAffinity: 1,
		}],
	}),
	'scheduled occurrences': createScheduledJob,
	duplicates: (id, acceptedAtMs) => createJob(id, {
		acceptedAtMs, steps: [{
			count: 3, cpuMillis: 1000, estimatedMs: 500, allowDuplicates: true,
		}],
	}),
	checkpoints: (id, acceptedAtMs) => createJob(id, {
		acceptedAtMs, steps: [{
			count: 2, cpuMillis: 3000, estimatedMs: 2500, checkpointing: true,
		}],
	}),
	'required label': (id, acceptedAtMs) => createJob(id, {
		acceptedAtMs, steps: [{
			count: 2, cpuMillis: 1000, estimatedMs: 500, requirement: 'r1',
		}],
	}),
};

describe('kinds of tasks across a change of owner', () => {
	for (const [name, create] of Object.entries(kinds)) {
		it(`completes every job and upholds the guarantees: ${name}`, () => {
			for (let seed = 1; seed <= 5; seed++) {
				const fleet = simulateTaskKind(seed, create);
				assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
				assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
			}
		});
	}

	it('starts every occurrence, and none more than 250 ms before its time', () => {
		const fleet = simulateTaskKind(9, createScheduledJob);
		const starts = fleet.checker.firstStartedAt;
		for (let at = 0; at < 6000; at += 400) {
			for (let occurrence = 0; occurrence < 3; occurrence++) {
				// The platform allows a start up to 250 ms before the due time (`earlyMs`).
				const startedAt = starts.get(`kind${at}.${occurrence}.0.0`) ?? Number.NaN;
				assert.ok(startedAt >= at + 1000 + (occurrence * 700) - 250, `kind${at}, occurrence ${occurrence} started at ${startedAt}`);
			}
		}
	});

	it('starts the members of a gang together', () => {
		const startToleranceMs = 100;
		for (let seed = 1; seed <= 5; seed++) {
			const {checker} = simulateTaskKind(seed, kinds.gang ?? createScheduledJob);
			for (let at = 0; at < 6000; at += 400) {
				const times = [0, 1, 2, 3].map(index => checker.firstStartedAt.get(`kind${at}.0.0.${index}`) ?? Number.NaN);
				assert.ok(Math.max(...times) - Math.min(...times) <= startToleranceMs, `seed ${seed}, kind${at}: ${times.join(', ')}`);
			}
		}
	});
});
