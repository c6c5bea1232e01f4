import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createJob} from '@rosemaryquay/testing/jobs/create-fleet';
import {type SimulatedJob} from '@rosemaryquay/testing/jobs/order-simulation';
import {computeBound} from './compute-bound.js';
import {flattenDemand, slotMs} from './flatten-demand.js';
import {listWindows} from './list-windows.js';
import {plotInstances} from './plot-instances.js';

/** A job of 16 tasks of one core that run for a second; it fills an instance while all of them run at once. */
function createFullJob(id: string, acceptedAtMs: number, objectiveMs = 1000): SimulatedJob {
	return {
		job: createJob(id, {acceptedAtMs, steps: [{count: 16, cpuMillis: 1000, estimatedMs: 1000}]}), durationsMs: [Array.from({length: 16}, () => 1000)], objectiveMs,
	};
}

function compute(jobs: readonly SimulatedJob[], initialInstances = 0) {
	return computeBound([{pool: 'a', jobs, initialInstances}], 30_000);
}

describe('bound for planners of pools', () => {
	it('guards against a bound above what is needed: work is spread up to its deadline', () => {
		assert.deepEqual(flattenDemand([{releaseMs: 0, deadlineMs: 1000, work: 4}, {releaseMs: 0, deadlineMs: 2000, work: 2}], 30).slice(0, 21), [...Array.from({length: 10}, () => 4), ...Array.from({length: 10}, () => 2), 0]);
	});

	it('guards against a demand below what is needed: in every interval, it covers the work that has to be done there', () => {
		const slot = fc.integer({min: 0, max: 40});
		fc.assert(fc.property(fc.array(fc.record({from: slot, length: fc.integer({min: 1, max: 15}), work: fc.integer({min: 1, max: 9})}), {minLength: 1, maxLength: 12}), items => {
			const windows = items.map(({from, length, work}) => ({releaseMs: from * slotMs, deadlineMs: (from + length) * slotMs, work}));
			const demand = flattenDemand(windows, 60);
			const sum = (from: number, to: number): number => demand.slice(from, to).reduce((total, cores) => total + (cores * slotMs / 1000), 0);
			assert.ok(Math.abs(sum(0, 60) - windows.reduce((total, {work}) => total + work, 0)) < 1e-6);
			for (const {from} of items) {
				for (const {from: other, length} of items) {
					const to = other + length;
					const due = items.filter(item => item.from >= from && item.from + item.length <= to).reduce((total, {work}) => total + work, 0);
					assert.ok(sum(from, to) > due - 1e-6);
				}
			}
		}), {seed: 1, numRuns: 200});
	});

	it('counts the time of a move, and keeps an instance over a gap that is shorter than leaving and coming back', () => {
		const apart = compute([createFullJob('a', 5000), createFullJob('b', 15_000)]);
		assert.deepEqual([apart.moves, apart.instanceSeconds, apart.workSeconds], [2, 5, 2]);
		const close = compute([createFullJob('a', 5000), createFullJob('b', 8000)]);
		assert.deepEqual([close.moves, close.instanceSeconds], [1, 5.5]);
		assert.deepEqual(compute([createFullJob('a', 0)], 1).moves, 0);
	});

	it('serves late the jobs that nobody can serve in time, and gives each step its part of the time', () => {
		const {feasibleJobs, windows} = listWindows([createFullJob('a', 0, 999)]);
		assert.deepEqual([feasibleJobs, windows[0]?.deadlineMs], [0, 2997]);
		const {job} = createFullJob('a', 0);
		const twoSteps = {job: {...job, steps: [...job.steps, ...job.steps]}, durationsMs: [[1000], [500]], objectiveMs: 2000};
		assert.deepEqual(listWindows([twoSteps]).windows.map(({releaseMs, deadlineMs}) => [releaseMs, deadlineMs]), [[0, 1500], [1000, 2000]]);
	});

	it('draws an SVG document with both planners', () => {
		const svg = plotInstances({planner: [3, 4], 'day known in advance': [1, 4]});
		assert.match(svg, /^<svg.*xmlns="http:\/\/www\.w3\.org\/2000\/svg"/);
		assert.match(svg, /day known in advance/);
	});
});
