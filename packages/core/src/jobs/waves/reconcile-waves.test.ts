import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type UpkeepState, type WaveRequest} from '../state/instance.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';

const configuration = configurationSchema.parse({
	version: 1, queues: [], pools: [{name: 'planner'}], organisations: [], maximumBodyBytes: 1000,
});

const createWave = (number: number): WaveRequest => ({
	number, instances: ['m1'], durationMs: 20_000, maximumDown: 1,
});

/** Creates an owner whose only worker is cordoned for the given waves, all of which are in the same state. */
function createOwner(numbers: readonly number[], state: UpkeepState) {
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	const request = (waves: readonly number[]): void => {
		reduceScheduler(scheduler, {type: 'waves-requested', waves: waves.map(number => createWave(number))}, {now: 0, timeOfDay: 0});
	};

	reduceScheduler(scheduler, {
		type: 'worker-listed',
		worker: {
			id: 'w1', address: '10.0.0.1:80', service: 'planner', availabilityZone: 'east', rack: 'r1', labels: [], capacity: {cpuMillis: 8000, memoryMb: 1000, accelerators: 0}, leaving: false, instance: 'm1', startedAtMs: 1,
		},
	}, {now: 0, timeOfDay: 0});
	request(numbers);
	const worker = scheduler.workers.get('w1');
	assert.ok(worker);
	worker.cordoned = true;
	for (const wave of scheduler.waves.values()) {
		const upkeep = wave.upkeeps.get('m1');
		assert.ok(upkeep);
		upkeep.state = state;
	}

	return {request, worker};
}

describe('waves that the operators withdraw', () => {
	for (const state of ['draining', 'requested', 'unconfirmed', 'down'] as const) {
		it(`guards against a worker that gets no tasks any more because its upkeep was ${state}`, () => {
			const {request, worker} = createOwner([1], state);
			request([]);
			assert.equal(worker.cordoned, false);
		});
	}

	it('guards against returning a worker to service whose instance is due for another wave', () => {
		const {request, worker} = createOwner([1, 2], 'draining');
		request([2]);
		assert.equal(worker.cordoned, true);
	});
});
