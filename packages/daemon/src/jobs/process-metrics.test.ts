import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type View} from '@rosemaryquay/core/jobs/views/view-schema';
import {listViewGauges} from './list-view-gauges.js';
import {type LabelledValue, ProcessMetrics} from './process-metrics.js';

const view: View = {
	term: 1,
	pools: [{
		name: 'planner', spare: false, instances: 4, workers: 3, schedulable: 2, capacity: 48_000, used: 40_500, forecast: 60_000, forecastError: 2500, arriving: 1, departing: 0, kept: 1,
	}, {
		name: 'reserve', spare: true, instances: 5, workers: 0, schedulable: 0, capacity: 0, used: 0, forecast: 0, forecastError: 0, arriving: 0, departing: 1, kept: 0,
	}],
	queues: {plans: 7},
	shares: [{
		service: 'planner', organisation: 'north', weight: 2, used: 20_000, waiting: 9000, share: 32_000,
	}],
	backlogs: [{service: 'planner', jobs: 9, work: 120.5}],
	jobs: [],
	waitCounts: [{service: 'planner', reason: 'limit', jobs: 7}],
	waits: [],
};

function createMetrics(read: () => readonly LabelledValue[], labelNames: readonly string[]): ProcessMetrics {
	return new ProcessMetrics({gauges: {}, labelledGauges: {measuredCores: {help: 'h', labelNames, read}}});
}

describe('metrics of the process', () => {
	it('show usage against share, instances by pool and the error of the forecast', async () => {
		const {poolInstances, poolCores, organisationCores, waitingJobs, waitReasons} = listViewGauges(view);
		const {text} = await createMetrics(() => organisationCores, ['service', 'organisation', 'kind']).format();
		assert.match(text, /rosemaryquay_measured_cores{service="planner",organisation="north",kind="share"} 32/);
		assert.deepEqual(poolInstances.filter(({labels}) => labels.state === 'instances').map(({value}) => value), [4, 5]);
		assert.deepEqual(poolCores.find(({labels}) => labels.kind === 'forecastError'), {labels: {pool: 'planner', kind: 'forecastError'}, value: 2.5});
		assert.equal(waitingJobs[0]?.value, 9);
		assert.deepEqual(waitReasons, [{labels: {service: 'planner', reason: 'limit'}, value: 7}]);
		assert.deepEqual(listViewGauges(undefined).poolInstances, []);
	});

	it('guards against series that stay after their organisation or pool is gone', async () => {
		let values = listViewGauges(view).organisationCores;
		const metrics = createMetrics(() => values, ['service', 'organisation', 'kind']);
		await metrics.format();
		values = [];
		const {text} = await metrics.format();
		assert.doesNotMatch(text, /north/);
	});

	it('guards against a scrape that grows without bound with the names of a deployment', async () => {
		const metrics = createMetrics(() => Array.from({length: 5000}, (_, position) => ({labels: {pool: `p${position}`}, value: 1})), ['pool']);
		const {text} = await metrics.format();
		assert.equal(text.match(/measured_cores{/g)?.length, 400);
	});

	it('count refusals by reason, without the details after a colon', async () => {
		const metrics = new ProcessMetrics({gauges: {}});
		const logger = metrics.countEvents({log: () => undefined});
		logger.log('call-refused', {reason: 'no-room', waitMs: 9000, recordAgeMs: 400});
		logger.log('call-refused', {reason: 'over-share', waitMs: 4000, recordAgeMs: 400});
		logger.log('call-refused', {reason: 'no-room', waitMs: 8000, recordAgeMs: 900});
		const {text} = await metrics.format();
		assert.match(text, /rosemaryquay_events_total{event="call-refused",outcome="no-room"} 2/);
		assert.match(text, /rosemaryquay_events_total{event="call-refused",outcome="over-share"} 1/);
	});
});
