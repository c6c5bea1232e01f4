import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {jobSchema} from '../state/job-schema.js';
import {type ListedWorker} from '../state/scheduler.js';
import {checkDisruptionBudgets} from './check-disruption-budgets.js';

const configuration = configurationSchema.parse({
	version: 1, queues: [{
		name: 'watches', host: 'h', pathPrefix: '/', service: 'watcher',
	}], pools: [{name: 'watcher'}], organisations: [], maximumBodyBytes: 1,
});

const workers = Array.from({length: 4}, (_, position): ListedWorker => ({
	id: `w${position}`, address: '', service: 'watcher', availabilityZone: '', rack: '', labels: position < 2 ? ['ssd'] : [], capacity: {cpuMillis: 16_000, memoryMb: 1000, accelerators: 0}, leaving: false, instance: `m${position}`, startedAtMs: 1,
}));

type Load = {step?: Readonly<Record<string, unknown>>; instances?: number; durationMs?: number};

function check({step = {}, instances = 4, durationMs = 10_000}: Load): string[] {
	const job = jobSchema.parse({
		id: 'a', queue: 'watches', service: 'watcher', organisation: '', acceptedAtMs: 0, steps: [{
			count: 24, cpuMillis: 1000, longRunning: true, mayMiss: 2, ...step,
		}],
	});
	const wave = {
		number: 3, instances: workers.slice(0, instances).map(({instance}) => instance), durationMs, maximumDown: 1,
	};
	return checkDisruptionBudgets(configuration, {workers, jobs: [job], waves: [wave]}).map(({problem}) => problem);
}

describe('check of disruption budgets against waves', () => {
	it('finds a step that may miss no task while a wave covers its instances', () => {
		assert.match(check({step: {mayMiss: 0}}).join('\n'), /job a: no task of a step of 24 may be away.*wave 3/);
	});

	it('finds a wave that is too short for the tasks that have to leave its instances', () => {
		assert.match(check({durationMs: 1000}).join('\n'), /at least 24 of 24 tasks.*1200 ms or more of the 1000 ms/);
	});

	it('counts only workers on which the tasks may run: those of another label are no room for them', () => {
		assert.deepEqual(check({instances: 2, durationMs: 100}), []);
		assert.match(check({instances: 2, durationMs: 100, step: {requirement: 'ssd'}}).join('\n'), /at least 24 of 24/);
		assert.match(check({instances: 2, durationMs: 100, step: {antiAffinity: 1}}).join('\n'), /at least 22 of 24/);
	});

	it('guards against warnings about budgets that a wave can respect', () => {
		assert.deepEqual(check({}), []);
		assert.deepEqual(check({instances: 0, step: {mayMiss: 0}}), []);
		assert.deepEqual(check({step: {longRunning: false, mayMiss: 0}}), []);
	});
});
