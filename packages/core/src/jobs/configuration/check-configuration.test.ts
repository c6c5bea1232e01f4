import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema, type Configuration} from '../state/configuration-schema.js';
import {jobSchema} from '../state/job-schema.js';
import {checkConfiguration} from './check-configuration.js';

const queue = {
	name: 'plans', host: 'h', pathPrefix: '/plans/', service: 'planner',
};
const organisation = {name: 'north', keys: ['n']};

function createConfiguration(changes: Partial<Record<keyof Configuration, unknown>> = {}): Configuration {
	return configurationSchema.parse({
		version: 1, queues: [queue], pools: [{name: 'planner'}, {name: 'reserve', spare: true}], organisations: [organisation], maximumBodyBytes: 1000, ...changes,
	});
}

const job = jobSchema.parse({
	id: 'a', queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs: 0, steps: [{count: 2, cpuMillis: 4000, requirement: 'gpu'}],
});

type Case = {name: string; configuration: Configuration; expected: RegExp};

const cases: Case[] = [
	{name: 'two queues with one path', configuration: createConfiguration({queues: [queue, {...queue, name: 'b'}]}), expected: /can never match/},
	{name: 'a path prefix without a slash', configuration: createConfiguration({queues: [{...queue, pathPrefix: 'plans/'}]}), expected: /does not start with a slash/},
	{name: 'a host with a port', configuration: createConfiguration({queues: [{...queue, host: 'h:443'}]}), expected: /without their port/},
	{name: 'an unknown service', configuration: createConfiguration({queues: [{...queue, service: 'x'}]}), expected: /unknown service "x"/},
	{name: 'a queue of the spare pool', configuration: createConfiguration({queues: [{...queue, service: 'reserve'}]}), expected: /spare pool/},
	{
		name: 'a queue that starves', configuration: createConfiguration({
			queues: [{...queue, priority: 1}, {
				...queue, name: 'b', pathPrefix: '/b/', openToAll: true,
			}],
		}), expected: /may starve/,
	},
	{name: 'an objective that cannot be met', configuration: createConfiguration({queues: [{...queue, stretch: 0}]}), expected: /late as soon as they arrive/},
	{name: 'a key of two organisations', configuration: createConfiguration({organisations: [organisation, {name: 'south', keys: ['n']}]}), expected: /same API key/},
	{name: 'an organisation without keys', configuration: createConfiguration({organisations: [organisation, {name: 'south', keys: []}]}), expected: /has no API key/},
	{name: 'weight 0', configuration: createConfiguration({organisations: [{...organisation, weight: 0}]}), expected: /weight 0/},
	{name: 'a limit below a task', configuration: createConfiguration({organisations: [{...organisation, limit: {cpuMillis: 3000}}]}), expected: /needs 4000/},
	{name: 'a pool without a queue', configuration: createConfiguration({pools: [{name: 'planner'}, {name: 'unused'}]}), expected: /no queue uses pool "unused"/},
	{name: 'a label that no worker has', configuration: createConfiguration(), expected: /label "gpu"/},
];

describe('check of a configuration', () => {
	for (const {name, configuration, expected} of cases) {
		it(`finds ${name}`, () => {
			const workers = [{
				id: 'w1', address: '', service: 'planner', availabilityZone: 'east', rack: 'r', labels: ['a'], capacity: {cpuMillis: 1, memoryMb: 1, accelerators: 0}, leaving: false, instance: 'm1', startedAtMs: 1,
			}];
			assert.ok(checkConfiguration(configuration, {jobs: [job], workers}).some(({problem}) => expected.test(problem)));
		});
	}

	it('finds nothing in a sound configuration', () => {
		assert.deepEqual(checkConfiguration(createConfiguration()), []);
	});
});
