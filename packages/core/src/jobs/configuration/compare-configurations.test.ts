import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema, type Configuration} from '../state/configuration-schema.js';
import {jobSchema} from '../state/job-schema.js';
import {compareConfigurations} from './compare-configurations.js';

function createConfiguration(changes: Readonly<Record<string, unknown>> = {}): Configuration {
	return configurationSchema.parse({
		version: 1,
		queues: [{
			name: 'plans', host: 'h', pathPrefix: '/', service: 'planner',
		}],
		pools: [{name: 'planner'}],
		organisations: [{name: 'north', keys: ['secret']}],
		maximumBodyBytes: 1000,
		...changes,
	});
}

const jobs = ['north', 'south', ''].map((organisation, position) => jobSchema.parse({
	id: `j${position}`, queue: 'plans', service: 'planner', organisation, acceptedAtMs: 0, steps: [{count: 1}],
}));

describe('comparison of configurations', () => {
	it('shows whom a change affects: queues, organisations and unfinished jobs', () => {
		const [difference] = compareConfigurations(createConfiguration(), createConfiguration({pools: [{name: 'planner', guardsCapacity: false}]}), jobs);
		assert.deepEqual([difference?.list, difference?.queues, difference?.organisations, difference?.unfinishedJobs], ['pools', ['plans'], ['north', 'south'], 3]);
	});

	it('guards against API keys in its output', () => {
		const [difference] = compareConfigurations(createConfiguration(), createConfiguration({organisations: [{name: 'north', keys: ['other', 'more']}]}), jobs);
		assert.deepEqual(difference?.fields, {keys: {before: '1 keys', after: '2 keys'}});
		assert.deepEqual([difference?.organisations, difference?.unfinishedJobs], [['north'], 1]);
	});

	it('guards against a changed value that is in no list and passes unseen', () => {
		const [difference] = compareConfigurations(createConfiguration(), createConfiguration({maximumBodyBytes: 5}));
		assert.deepEqual([difference?.name, difference?.queues], ['maximumBodyBytes', ['plans']]);
	});

	it('finds nothing in equal configurations', () => {
		assert.deepEqual(compareConfigurations(createConfiguration(), createConfiguration({version: 2}), jobs), []);
	});
});
