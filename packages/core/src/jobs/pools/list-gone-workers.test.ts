import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestOwner, type TestOwner} from '../create-test-owner.js';
import {type ListedInstance} from '../state/instance.js';

const ids = ['m1', 'm2', 'm3'] as const;

function createOwner(): TestOwner {
	const owner = createTestOwner({workers: [{}, {}, {}]});
	owner.submit('a', {count: 24});
	owner.advance(200);
	assert.ok(owner.scheduler.workers.get('w1')?.tasks.size);
	return owner;
}

/** Lets time pass in which all workers but those named answer. */
function pass(owner: TestOwner, silent: readonly string[], durationMs = 300): void {
	for (const end = owner.state.now + durationMs; owner.state.now < end;) {
		for (const worker of ['w1', 'w2', 'w3']) {
			if (!silent.includes(worker)) {
				owner.report(worker);
			}
		}

		owner.tick(50);
	}
}

function list(owner: TestOwner, listed: readonly string[], {isComplete = true, requestedAt = owner.state.now}: {isComplete?: boolean; requestedAt?: number} = {}): void {
	const instances = listed.map((id): ListedInstance => ({
		id, pool: 'planner', state: 'up', availabilityZone: 'east', capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0}, worker: id.replace('m', 'w'),
	}));
	owner.dispatch({
		type: 'instances-listed', instances, requestedAt, isComplete,
	});
}

const isGone = (owner: TestOwner): boolean => owner.scheduler.workers.get('w1')?.tasks.size === 0;

describe('workers whose instance the platform lists no more', () => {
	it('guards against tasks that wait for the lease of a worker whose instance has been taken away', () => {
		const owner = createOwner();
		pass(owner, ['w1']);
		list(owner, ['m2', 'm3']);
		pass(owner, ['w1']);
		assert.ok(!isGone(owner));
		list(owner, ['m2', 'm3']);
		assert.ok(isGone(owner));
		assert.deepEqual(owner.scheduler.crashes, []);
		assert.ok([...owner.scheduler.tasks.values()].every(({group}) => !group.suspected));
	});

	const doubtful: Readonly<Record<string, (owner: TestOwner) => void>> = {
		'one list without it'(owner) {
			pass(owner, ['w1']);
			list(owner, ['m2', 'm3']);
			pass(owner, ['w1']);
			list(owner, ids);
			pass(owner, ['w1']);
			list(owner, ['m2', 'm3']);
		},
		'it has answered between the lists'(owner) {
			pass(owner, ['w1']);
			list(owner, ['m2', 'm3']);
			pass(owner, []);
			list(owner, ['m2', 'm3']);
		},
		'the lists are without an instance whose worker answers'(owner) {
			pass(owner, ['w1']);
			list(owner, ['m2']);
			pass(owner, ['w1']);
			list(owner, ['m2']);
		},
		'no worker answers'(owner) {
			pass(owner, ['w1', 'w2', 'w3']);
			list(owner, ['m2', 'm3']);
			pass(owner, ['w1', 'w2', 'w3']);
			list(owner, ['m2', 'm3']);
		},
		'an entry of a list cannot be read'(owner) {
			pass(owner, ['w1']);
			list(owner, ['m2', 'm3'], {isComplete: false});
			pass(owner, ['w1']);
			list(owner, ['m2', 'm3']);
		},
		'it was requested before the worker answered last'(owner) {
			const requestedAt = owner.state.now;
			pass(owner, []);
			list(owner, ['m2', 'm3'], {requestedAt});
			pass(owner, ['w1']);
			list(owner, ['m2', 'm3'], {requestedAt: requestedAt + 1});
		},
	};
	for (const [name, play] of Object.entries(doubtful)) {
		it(`guards against tasks that are started elsewhere while their worker may run on: ${name}`, () => {
			const owner = createOwner();
			play(owner);
			assert.ok(!isGone(owner));
		});
	}

	it('guards against lists that are requested too rarely while a worker with tasks does not answer', () => {
		const owner = createOwner();
		pass(owner, [], 1000);
		list(owner, ids);
		owner.effects.splice(0);
		pass(owner, [], 2000);
		assert.ok(!owner.effects.some(({type}) => type === 'list-instances'));
		owner.dispatch({type: 'report-failed', worker: 'w1', outcome: 'unanswered'});
		pass(owner, ['w1'], 100);
		assert.ok(owner.effects.some(({type}) => type === 'list-instances'));
	});
});
