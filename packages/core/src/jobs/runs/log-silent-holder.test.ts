import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';
import {type ListedWorker} from '../state/scheduler.js';

const holder = {
	id: 'w1', address: '10.0.0.1:80', instance: 'm1', service: 'planner', boundedStartedAtMs: 7,
};

const listing: ListedWorker = {
	id: 'w1', address: '10.0.0.1:80', service: 'planner', availabilityZone: 'east', rack: 'r1', labels: [], capacity: {cpuMillis: 1000, memoryMb: 1024, accelerators: 0}, leaving: true, instance: 'm1', startedAtMs: 7,
};

describe('lines about a recorded worker that does not answer a new owner', () => {
	it('guards against a wait whose worker, service and entry in the store no line names', () => {
		const configuration = configurationSchema.parse({
			version: 1, queues: [], pools: [{name: 'planner'}], organisations: [], maximumBodyBytes: 65_536,
		});
		const scheduler = createScheduler({
			term: 2, now: 0, configuration, holders: [holder],
		});
		reduceScheduler(scheduler, {type: 'worker-listed', worker: listing}, {now: 10, timeOfDay: 10});
		reduceScheduler(scheduler, {type: 'worker-unlisted', id: 'w1'}, {now: 600, timeOfDay: 600});
		const lines = [];
		for (let now = 100; now <= 12_000; now += 100) {
			for (const effect of reduceScheduler(scheduler, {type: 'ticked'}, {now, timeOfDay: now})) {
				if (effect.type === 'log' && effect.event.startsWith('holder-')) {
					lines.push({event: effect.event, ...effect.fields});
				}
			}
		}

		const known = {
			worker: 'w1', service: 'planner', instance: 'm1', boundedStartedAtMs: 7, listedStartedAtMs: undefined, leaving: true,
		};
		assert.deepEqual(lines, [
			{
				event: 'holder-silent', ...known, unlistedMs: 400, waitMs: 9304,
			},
			{
				event: 'holder-abandoned', ...known, unlistedMs: 9800, reason: 'unanswered', waitedMs: 10_400,
			},
		]);
	});
});
