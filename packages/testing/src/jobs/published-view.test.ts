import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type View, viewSchema} from '@rosemaryquay/core/jobs/views/view-schema';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const loadedMs = 20_000;

/** Time after the last job in which forecasts and their errors come to rest, in milliseconds. */
const settlingMs = 25_000;

function createLoadedFleet(): FleetModel {
	const fleet = new FleetModel({
		seed: 1,
		configuration: createConfiguration({organisations: [{name: 'north', keys: [], weight: 3}, {name: 'south', keys: []}]}),
		workers: createWorkers(2),
		instances: createWorkers(2).map(({id, instance, capacity, availabilityZone}) => ({
			id: instance, pool: 'planner', state: 'up', availabilityZone, capacity, worker: id,
		})),
	});
	fleet.takeOver();
	for (let position = 0; position < 200; position++) {
		fleet.at(1000 + (position * 50), () => {
			fleet.submit(createJob(`j${position}`, {organisation: position % 2 === 0 ? 'north' : 'south', steps: [{count: 8, cpuMillis: 4000, estimatedMs: 400}]}));
		});
	}

	return fleet;
}

function parseViews({publishedViews}: FleetModel): View[] {
	return publishedViews.map(({view}) => viewSchema.parse(JSON.parse(view)));
}

describe('published view of the schedule', () => {
	it('shows pools, usage against share and the waiting jobs with the work ahead of them', () => {
		const fleet = createLoadedFleet();
		fleet.runUntil(loadedMs);
		const contended = parseViews(fleet).findLast(({shares}) => shares.length === 2);
		assert.ok(contended !== undefined);
		const {pools, shares, backlogs, jobs, queues} = contended;
		const planner = pools.find(({name}) => name === 'planner');
		assert.deepEqual([planner?.instances, planner?.workers, planner?.capacity], [2, 2, 32_000]);
		assert.deepEqual(shares.map(({organisation, weight}) => `${organisation} ${weight}`).toSorted(), ['north 3', 'south 1']);
		assert.deepEqual([backlogs[0]?.service, jobs[0]?.[2], jobs[0]?.[3]], ['planner', 1, 0]);
		assert.ok(jobs.every((job, position) => job[3] >= (jobs[position - 1]?.[3] ?? 0)));
		assert.ok((queues.plans ?? 0) > 0);
	});

	it('guards against store calls for a view that nobody needs: at most one a second, and none while no worker and no job changes', () => {
		const fleet = createLoadedFleet();
		fleet.runUntil(loadedMs);
		const intervals = fleet.publishedViews.map(({at}, position) => at - (fleet.publishedViews[position - 1]?.at ?? Number.NEGATIVE_INFINITY));
		assert.ok(intervals.every(interval => interval >= 1000));
		fleet.runUntil(120_000);
		const idleFrom = Math.max(...[...fleet.storedJobs.values()].map(({end}) => end === undefined ? Number.POSITIVE_INFINITY : end.endedAtMs));
		const late = fleet.publishedViews.filter(({at}) => at > idleFrom + settlingMs);
		assert.deepEqual(fleet.unfinishedJobs, []);
		assert.deepEqual(late, []);
	});

	it('guards against a view of a former owner: the next one publishes its own', () => {
		const fleet = createLoadedFleet();
		fleet.runUntil(4000);
		fleet.takeOver();
		fleet.runUntil(6000);
		assert.deepEqual(new Set(parseViews(fleet).map(({term}) => term)).size, 2);
	});
});
