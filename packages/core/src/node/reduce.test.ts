import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {parseCatalogue} from '../catalogue/parse-catalogue.js';
import {createNode} from './create-node.js';
import {type Effect, type EffectOf} from './effect.js';
import {type Arrival, type AttemptOutcome, type Event} from './event.js';
import {type Node} from './node.js';
import {reduce} from './reduce.js';

const owner = 'operations';
const hash = 'a'.repeat(64);

function createTestNode(options: {withdrawn?: boolean; repeatable?: boolean; running?: number} = {}): Node {
	const {withdrawn = false, repeatable = true, running = 10} = options;
	const parsed = parseCatalogue({
		organisations: {main: {owner}},
		teams: {
			main: {
				owner, organisation: 'main', share: 1, limits: {running}, keys: {first: {hash}},
			},
		},
		pools: {web: {owner}},
		services: {web: {owner, pool: 'web', limits: {unavailable: 1}}},
		queues: {mail: {owner, service: 'web', repeatable}},
		zones: {'zone-a': {owner, region: 'main', withdrawn}},
	});
	assert.ok(parsed.ok);
	const node = createNode({id: 'entry-1', zone: 'zone-a'});
	const instances = [{
		id: 'w-1', address: 'http://127.0.0.1:1', zone: 'zone-a', rack: 'r-1', pool: 'web', state: 'live' as const,
	}];
	apply(node, {type: 'catalogue-loaded', at: 0, snapshot: createSnapshot(parsed.catalogue, 1)});
	apply(node, {type: 'configuration-confirmed', at: 0});
	apply(node, {type: 'members-observed', at: 0, lease: {registration: 'l-1', validUntil: 6000}});
	apply(node, {type: 'instances-listed', at: 0, instances});
	return node;
}

function apply(node: Node, ...events: readonly Event[]): Effect[] {
	return events.flatMap(event => reduce(node, event)).flatMap(effect => effect.type === 'store-transact' ? answerStore(node, effect) : [effect]).filter(effect => effect.type !== 'count');
}

/** Answers a transaction at once, like an empty store in which every write succeeds. */
function answerStore(node: Node, {purpose, id, transaction}: EffectOf<'store-transact'>): Effect[] {
	const entries = transaction.success.filter(operation => operation.type === 'get').map(() => undefined);
	return apply(node, {
		type: 'store-transacted', at: 1, purpose, id, outcome: {ok: true, value: {succeeded: true, revision: Number(id) + 1, entries}},
	});
}

function arrive(id: string, options: Partial<Arrival> = {}, at = 1): Event {
	return {
		type: 'request-arrived', at, arrival: {
			id, queue: 'mail', keyHash: hash, bodyBytes: 0, ...options,
		},
	};
}

function formatRefusal(effects: readonly Effect[]): string | undefined {
	for (const effect of effects) {
		if (effect.type === 'refuse') {
			return `${effect.refusal.reason}, ${effect.refusal.execution}`;
		}
	}

	return undefined;
}

// Guards against requests that are admitted without authorisation, or although a limit or check forbids it.
const refusedArrivals: ReadonlyArray<{name: string; arrival: Partial<Arrival>; at?: number; expected: string}> = [
	{name: 'unknown key', arrival: {keyHash: 'b'.repeat(64)}, expected: 'key-unknown, not run'},
	{name: 'unknown queue', arrival: {queue: 'none'}, expected: 'queue-unknown, not run'},
	{name: 'queue named like an object property', arrival: {queue: 'constructor'}, expected: 'queue-unknown, not run'},
	{name: 'large body', arrival: {bodyBytes: 1_048_577}, expected: 'body-too-large, not run'},
	{
		name: 'stale configuration', arrival: {}, at: 2001, expected: 'configuration-stale, not run',
	},
];

for (const {name, arrival, at = 1, expected} of refusedArrivals) {
	test(`refuses a request: ${name}`, () => {
		assert.equal(formatRefusal(apply(createTestNode(), arrive('r-1', arrival, at))), expected);
	});
}

// Guards against a second run of a request that may run only once, and against "not run" reported for one that may have run.
const outcomes: ReadonlyArray<{name: string; repeatable: boolean; outcome: AttemptOutcome; expected: string}> = [
	{
		name: 'success', repeatable: false, outcome: {type: 'succeeded'}, expected: 'answer',
	},
	{
		name: 'lost, not repeatable', repeatable: false, outcome: {type: 'lost', cause: 'connection-lost'}, expected: 'worker-lost, outcome unknown',
	},
	{
		name: 'failed, not repeatable', repeatable: false, outcome: {type: 'failed', status: 500}, expected: 'worker-failed, outcome unknown',
	},
];

for (const {name, repeatable, outcome, expected} of outcomes) {
	test(`ends a request after: ${name}`, () => {
		const node = createTestNode({repeatable});
		const [start] = apply(node, arrive('r-1'));
		assert.ok(start?.type === 'start-attempt');
		const effects = apply(node, {
			type: 'attempt-finished', at: 2, attemptId: start.attemptId, outcome,
		});
		assert.equal(formatRefusal(effects) ?? effects[0]?.type, expected);
		assert.equal(node.tasks.byId.size, 0);
		assert.equal(node.limits.running.get('main'), 0);
	});
}

test('ignores a second answer to an attempt, which would free its slot twice', () => {
	const node = createTestNode();
	const [start] = apply(node, arrive('r-1'));
	assert.ok(start?.type === 'start-attempt');
	const finished: Event = {
		type: 'attempt-finished', at: 2, attemptId: start.attemptId, outcome: {type: 'succeeded'},
	};
	assert.equal(apply(node, finished).length, 1);
	assert.deepEqual(apply(node, finished), []);
});

test('starts no attempt in a withdrawn availability zone', () => {
	assert.deepEqual(apply(createTestNode({withdrawn: true}), arrive('r-1')), []);
});

test('frees the slot of a cancelled request exactly once', () => {
	const node = createTestNode({running: 1});
	apply(node, arrive('r-1'), arrive('r-2'));
	const cancel: Event = {type: 'request-cancelled', at: 3, taskId: 'r-1'};
	assert.deepEqual(apply(node, cancel, cancel).map(effect => effect.type), ['cancel-attempt', 'start-attempt']);
	assert.equal(node.limits.running.get('main'), 1);
});
