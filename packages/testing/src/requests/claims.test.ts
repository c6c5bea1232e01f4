import assert from 'node:assert/strict';
import {test} from 'node:test';
import {StoreModel} from '../store-model.js';
import {RequestFixture, type StoreFault, keyHashes} from '../request-fixture.js';

const {describeOutcome, findAttemptId} = RequestFixture;

const small = {status: 200, contentType: 'text/plain', body: 'YQ=='};
const large = {...small, body: 'a'.repeat(4000)};
const keyed = {idempotencyKey: 'k-1'};

// Guards against a second run of a request whose first submission is known to any instance.
const secondSubmissions: ReadonlyArray<{
	name: string; sameInstance: boolean; holderKnown?: boolean; ending?: 'answered' | 'answered-large' | 'lost'; queue?: string; fingerprint?: string; keyHash?: string; expected: string;
}> = [
	{name: 'first runs here', sameInstance: true, expected: 'request-in-progress, not run'},
	{
		name: 'first runs on a known instance', sameInstance: false, holderKnown: true, expected: 'request-in-progress, not run',
	},
	{name: 'first was on a crashed instance', sameInstance: false, expected: 'claim-outcome-unknown, outcome unknown'},
	{
		name: 'first was answered here', sameInstance: true, ending: 'answered-large', expected: 'answer-recorded',
	},
	{
		name: 'first was answered elsewhere', sameInstance: false, ending: 'answered', expected: 'answer-recorded',
	},
	{
		name: 'first had a large answer elsewhere', sameInstance: false, ending: 'answered-large', expected: 'claim-outcome-unknown, outcome unknown',
	},
	{
		name: 'first was lost here', sameInstance: true, ending: 'lost', expected: 'claim-outcome-unknown, outcome unknown',
	},
	{
		name: 'first was lost elsewhere', sameInstance: false, holderKnown: true, ending: 'lost', expected: 'claim-outcome-unknown, outcome unknown',
	},
	{
		name: 'key reused here with another body', sameInstance: true, fingerprint: 'f-2', expected: 'idempotency-key-reused, not run',
	},
	{
		name: 'key reused elsewhere with another body', sameInstance: false, ending: 'answered', fingerprint: 'f-2', expected: 'idempotency-key-reused, not run',
	},
	{
		name: 'key reused here on another queue', sameInstance: true, queue: 'mail', expected: 'idempotency-key-reused, not run',
	},
	{
		name: 'same key of another team', sameInstance: false, keyHash: keyHashes.second, expected: 'start-attempt',
	},
];

const endings = {
	answered: {type: 'succeeded', answer: small},
	'answered-large': {type: 'succeeded', answer: large},
	lost: {type: 'lost', cause: 'connection-lost'},
} as const;

for (const {name, sameInstance, holderKnown = false, ending, queue = 'orders', fingerprint = 'f-1', keyHash = keyHashes.first, expected} of secondSubmissions) {
	test(`answers a second submission: ${name}`, () => {
		const store = new StoreModel();
		const first = new RequestFixture({store});
		const second = sameInstance ? first : new RequestFixture({id: 'entry-2', store, peers: holderKnown ? ['entry-1'] : []});
		const attemptId = findAttemptId(first.arrive('r-1', keyed));
		if (ending !== undefined) {
			first.finish(attemptId, endings[ending]);
		}

		first.advance(600);
		second.at = first.at;
		assert.equal(describeOutcome(second.arrive('r-2', {
			...keyed, queue, fingerprint, keyHash,
		})), expected);
	});
}

// Guards against a start without a recorded claim, a second start, and a false report of "not run".
const faults: ReadonlyArray<{name: string; queue: string; faults: readonly StoreFault[]; expected: string; starts: number}> = [
	{
		name: 'store down', queue: 'orders', faults: ['down'], expected: 'claim-unavailable, not run', starts: 0,
	},
	{
		name: 'store down, repeatable', queue: 'mail', faults: ['down'], expected: 'start-attempt', starts: 1,
	},
	{
		name: 'answer lost after the write', queue: 'orders', faults: ['answer-lost'], expected: 'start-attempt', starts: 1,
	},
	{
		name: 'call lost before the write', queue: 'orders', faults: ['call-lost'], expected: 'start-attempt', starts: 1,
	},
	{
		name: 'call takes effect late', queue: 'orders', faults: ['call-late'], expected: 'start-attempt', starts: 1,
	},
	{
		name: 'answer lost, then down', queue: 'orders', faults: ['answer-lost', 'down'], expected: 'claim-unavailable, not run', starts: 0,
	},
	{
		name: 'all answers lost', queue: 'orders', faults: Array.from({length: 100}, () => 'answer-lost'), expected: 'claim-unavailable, not run', starts: 0,
	},
];

for (const {name, queue, faults: storeFaults, expected, starts} of faults) {
	test(`claims the idempotency key before sending the request, unless it is repeatable: ${name}`, () => {
		const fixture = new RequestFixture();
		fixture.storeFaults.push(...storeFaults);
		const effects = [...fixture.arrive('r-1', {...keyed, queue}), ...fixture.advance(5100)];
		assert.equal(describeOutcome(effects), expected);
		assert.equal(effects.filter(effect => effect.type === 'start-attempt').length, starts);
		if (starts === 0) {
			fixture.storeFaults.length = 0;
			fixture.advance(1100);
			// A request that did not run leaves no claim that would refuse its next submission.
			assert.equal(describeOutcome(fixture.arrive('r-2', {...keyed, queue})), 'start-attempt');
		}
	});
}

test('starts a request on only one of two instances that receive its idempotency key at the same time', () => {
	const store = new StoreModel();
	const nodes = [new RequestFixture({store, peers: ['entry-2']}), new RequestFixture({id: 'entry-2', store, peers: ['entry-1']})];
	// Neither has read the store key that holds the claim, so both expect it to be absent.
	assert.deepEqual(nodes.map(node => describeOutcome(node.arrive(node.node.id, keyed))), ['start-attempt', 'request-in-progress, not run']);
});

test('releases the claim of a caller that disconnected before its request was sent', () => {
	const fixture = new RequestFixture({runningLimit: 0});
	fixture.arrive('r-1', keyed);
	fixture.apply({type: 'request-cancelled', at: fixture.at, taskId: 'r-1'});
	fixture.advance(600);
	assert.equal([...fixture.store.entries.values()].map(entry => entry.value).join(''), '[]');
});

test('writes the claims of requests that arrive together in few transactions', () => {
	const fixture = new RequestFixture({workers: 20, runningLimit: 200});
	for (let index = 0; index < 100; index++) {
		fixture.arrive(`r-${index}`, {idempotencyKey: `k-${index}`});
	}

	fixture.advance(1000);
	const starts = fixture.effects.filter(effect => effect.type === 'start-attempt').length;
	const writes = fixture.effects.filter(effect => effect.type === 'store-transact').length;
	assert.equal(starts, 100);
	assert.ok(writes <= 6, `${writes} writes`);
});

test('refuses a claim in a bucket whose content is not a list of claims', () => {
	const fixture = new RequestFixture();
	fixture.arrive('r-1', keyed);
	const [key = ''] = fixture.store.entries.keys();
	fixture.store.put(key, 'not a list');
	fixture.advance(100);
	assert.equal(describeOutcome(new RequestFixture({id: 'entry-2', store: fixture.store}).arrive('r-2', keyed)), 'claim-unavailable, not run');
});

test('records the outcome of a request that ran while its claim was in flight', () => {
	const fixture = new RequestFixture();
	fixture.storeFaults.push(...Array.from({length: 100}, () => 'answer-lost' as const));
	const effects = [...fixture.arrive('r-1', {...keyed, queue: 'mail'}), ...fixture.advance(5200)];
	fixture.storeFaults.length = 0;
	fixture.finish(findAttemptId(effects), {type: 'succeeded', answer: small});
	fixture.advance(3000);
	assert.equal(describeOutcome(new RequestFixture({id: 'entry-2', store: fixture.store}).arrive('r-2', {...keyed, queue: 'mail'})), 'answer-recorded');
});

// Guards against memory and store writes that grow with the number of requests refused during an outage.
test('keeps no state of requests that were refused while the store was down', () => {
	const fixture = new RequestFixture();
	for (let index = 0; index < 20; index++) {
		fixture.storeFaults.push('down', 'down');
		fixture.arrive(`r-${index}`, {idempotencyKey: `k-${index}`});
		fixture.advance(100);
	}

	const {pending, active} = fixture.node.deduplication;
	assert.deepEqual([pending.size, active.size], [0, 0]);
});
