import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Tasks have one attempt, so that a job ends with its first failure. */
const configuration = createConfiguration({
	queues: [{
		name: 'plans', host: 'jobs.example', pathPrefix: '/plans/', service: 'planner', maximumAttempts: 1, stretch: 1.6, targetLatencyMs: 600,
	}],
});

/** Time within which an end must be stored: the report, the write under way before it, and its own write. */
const storeDelayLimitMs = 150;

describe('progress writes', () => {
	it('guards against delayed writes of ends while tasks of a failed job are being stopped', () => {
		for (let seed = 1; seed <= 10; seed++) {
			const fleet = new FleetModel({
				seed, configuration, workers: createWorkers(4), getBehaviour: task => ({fails: task.startsWith('failing') && task.endsWith('.0')}),
			});
			fleet.takeOver();
			for (let at = 100; at < 4000; at += 100) {
				fleet.at(at, () => {
					fleet.submit(createJob(`failing${at}`, {
						acceptedAtMs: at, steps: [{count: 1, cpuMillis: 500, estimatedMs: 200}, {count: 2, cpuMillis: 500, estimatedMs: 5000}],
					}));
					fleet.submit(createJob(`short${at}`, {acceptedAtMs: at, steps: [{count: 2, cpuMillis: 500, estimatedMs: 300}]}));
				});
			}

			const storedAt = new Map<string, number>();
			for (let at = 0; at < 8000; at += 5) {
				fleet.runUntil(at);
				for (const [id, {end}] of fleet.storedJobs) {
					if (end !== undefined && !storedAt.has(id)) {
						storedAt.set(id, at);
					}
				}
			}

			assert.deepEqual(fleet.checker.violations, []);
			for (const {job} of fleet.storedJobs.values()) {
				const waitMs = (storedAt.get(job.id) ?? Number.POSITIVE_INFINITY) - job.acceptedAtMs - 300;
				assert.ok(!job.id.startsWith('short') || waitMs < storeDelayLimitMs, `seed ${seed}, the end of ${job.id} was stored ${waitMs} ms late`);
			}
		}
	});
});
