import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {encodeView} from './encode-view.js';
import {type View, viewSchema} from './view-schema.js';

/** Largest size of the store entry of the view in bytes. */
const maximumBytes = 16_000;

function createView(count: number): View {
	const items = Array.from({length: count}, (_, position) => position);
	return {
		term: 1,
		pools: items.map(position => ({
			name: `größe-${position}`, spare: false, instances: 246, workers: 246, schedulable: 246, capacity: 15_744_000, used: 15_744_000, forecast: 99_999_900, forecastError: 99_999_900, arriving: 246, departing: 246, kept: 246,
		})),
		queues: Object.fromEntries(items.map(position => [`queue-${position}`, 100_000])),
		shares: items.map(position => ({
			service: 'planner', organisation: `o${position}`, weight: 1, used: 1, waiting: 1, share: 1,
		})),
		backlogs: items.map(position => ({service: `s${position}`, jobs: 5000, work: 123_456.7})),
		jobs: items.map(position => ['planner', `00000000000000a${position}`, position + 1, 123_456.7]),
		waitCounts: items.map(position => ({service: `s${position}`, reason: 'step-in-isolation', jobs: 5000})),
		waits: items.map(position => [`00000000000000a${position}`, 'step-in-isolation', 1_796_466_000_000]),
	};
}

describe('encoding of the view', () => {
	it('guards against an entry that the store refuses: it stays below 16 kB however much there is to show', () => {
		const encoded = encodeView(createView(2000));
		assert.ok(new TextEncoder().encode(encoded).length < maximumBytes);
		const view = viewSchema.parse(JSON.parse(encoded));
		assert.ok(view.pools.length >= 20);
		assert.equal(view.jobs[0]?.[2], 1);
	});

	it('leaves out nothing that fits', () => {
		const view = createView(10);
		assert.deepEqual(viewSchema.parse(JSON.parse(encodeView(view))), view);
	});
});
