import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestOwner, type TestOwner} from '../create-test-owner.js';
import {type ListedInstance} from '../state/instance.js';

const taskCount = 4;

/**
 * Creates an owner of four workers, on each of which a long-running task of one step is at work, and of idle ones. The entries of
 * some workers expire, and the upkeep of their instances is requested.
 */
function createWave({idleWorkers = 0, unlisted = ['w1']}: {idleWorkers?: number; unlisted?: readonly string[]} = {}) {
	const ordered: string[] = [];
	const owner = createTestOwner({
		workers: Array.from({length: taskCount + idleWorkers}, () => ({})),
		onEffect(effect) {
			if (effect.type === 'upkeep') {
				ordered.push(effect.instance);
			}
		},
	});
	owner.submit('lasting', {
		count: taskCount, longRunning: true, mayMiss: 1, antiAffinity: 1,
	});
	owner.advance(3000);
	assert.deepEqual(owner.listWorkersOf('lasting'), ['w1', 'w2', 'w3', 'w4']);
	const listings = unlisted.map(id => owner.scheduler.workers.get(id)?.listing).filter(listing => listing !== undefined);
	for (const {id} of listings) {
		owner.dispatch({type: 'worker-unlisted', id});
	}

	owner.dispatch({
		type: 'waves-requested', waves: [{
			number: 1, instances: listings.map(({instance}) => instance), durationMs: 26_000, maximumDown: 2,
		}],
	});
	owner.dispatch({
		type: 'instances-listed', requestedAt: owner.state.now, instances: Array.from({length: taskCount + idleWorkers}, (_, index): ListedInstance => ({
			id: `m${index + 1}`, pool: 'planner', state: 'up', availabilityZone: 'east', capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0}, worker: `w${index + 1}`,
		})),
	});
	return {owner, ordered, listings};
}

/** Passes time in which `w1` gives no answers. */
function advanceWithoutAnswers(owner: TestOwner, durationMs: number): void {
	for (const end = owner.state.now + durationMs; owner.state.now < end;) {
		for (const worker of owner.scheduler.workers.values()) {
			if (worker.id === 'w1') {
				worker.reportPending = false;
				owner.dispatch({type: 'report-failed', worker: worker.id, outcome: 'unanswered'});
			} else {
				owner.report(worker.id);
			}
		}

		owner.tick(50);
	}
}

function endStoppedTask(owner: TestOwner, worker: string): void {
	const [task] = owner.scheduler.workers.get(worker)?.tasks ?? [];
	assert.ok(task);
	owner.report(worker, {
		running: [], ended: [{
			number: 1, task: task.id, run: task.run, end: 'stopped', checkpoint: '',
		}],
	});
}

describe('upkeep of an instance whose worker the store does not list', () => {
	it('guards against ending a task at work because the entry of its worker has expired', () => {
		const {owner, ordered} = createWave();
		owner.advance(6000);
		assert.equal(owner.scheduler.workers.get('w1')?.tasks.size, 1);
		assert.deepEqual(ordered, []);
	});

	it('guards against a wave that such a worker holds up: its task moves to a worker with room before', () => {
		const {owner, ordered} = createWave({idleWorkers: 1});
		owner.advance(1000);
		const [task] = owner.scheduler.workers.get('w1')?.tasks ?? [];
		assert.equal(task?.state, 'stopping');
		assert.deepEqual(ordered, []);
		endStoppedTask(owner, 'w1');
		owner.advance(500);
		assert.deepEqual([...new Set(ordered)], ['m1']);
	});

	it('guards against taking down more tasks of a step than may be missing while none of their workers is listed', () => {
		const {owner, ordered} = createWave({idleWorkers: 2, unlisted: ['w1', 'w2']});
		owner.advance(1000);
		const stopping = [...owner.scheduler.tasks.values()].filter(({state}) => state === 'stopping');
		assert.equal(stopping.length, 1);
		assert.deepEqual(ordered, []);
	});

	it('guards against a wave that a dead worker holds up for ever', () => {
		const {owner, ordered} = createWave();
		const {scheduler} = owner;
		advanceWithoutAnswers(owner, scheduler.leaseMs - 500);
		assert.deepEqual(ordered, []);
		advanceWithoutAnswers(owner, scheduler.longestLeaseMs);
		assert.equal(ordered[0], 'm1');
	});

	it('guards against placing tasks on such a worker once it has started again', () => {
		const {owner, listings} = createWave();
		owner.advance(500);
		const [listing] = listings;
		assert.ok(listing);
		owner.dispatch({type: 'worker-listed', worker: {...listing, startedAtMs: 2}});
		owner.report('w1', {startedAtMs: 2, clockMs: 10, running: []});
		owner.tick(50);
		owner.tick(50);
		assert.equal(owner.scheduler.workers.get('w1')?.cordoned, true);
	});

	it('guards against a worker that stays cordoned when its wave is withdrawn before the store lists it again', () => {
		const {owner} = createWave();
		owner.advance(500);
		const worker = owner.scheduler.workers.get('w1');
		assert.equal(worker?.cordoned, true);
		owner.dispatch({type: 'waves-requested', waves: []});
		assert.equal(worker.cordoned, false);
	});
});

describe('orders for an upkeep to a slow service', () => {
	it('guards against repeating an order while its call still waits there', () => {
		const {owner, ordered} = createWave({unlisted: ['w5'], idleWorkers: 1});
		owner.advance(1400);
		assert.deepEqual(ordered, ['m5']);
		owner.dispatch({
			type: 'upkeep-answered', wave: 1, instance: 'm5', outcome: 'unanswered',
		});
		owner.advance(250);
		assert.deepEqual(ordered, ['m5']);
		owner.advance(200);
		assert.deepEqual(ordered, ['m5', 'm5']);
	});

	it('guards against an order that is never repeated when no outcome becomes known', () => {
		const {owner, ordered} = createWave({unlisted: ['w5'], idleWorkers: 1});
		owner.advance(2500);
		assert.deepEqual(ordered, ['m5', 'm5']);
	});
});
