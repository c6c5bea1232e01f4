import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {parseCatalogue} from '../catalogue/parse-catalogue.js';
import {type WorkClass} from '../catalogue/schema.js';
import {type Summary} from '../membership/message.js';
import {createNode} from '../node/create-node.js';
import {type Effect, type EffectOf} from '../node/effect.js';
import {type AttemptOutcome, type Event} from '../node/event.js';
import {type Node} from '../node/node.js';
import {reduce} from '../node/reduce.js';
import {describeDemand} from './describe-demand.js';
import {divideCapacity} from './divide-capacity.js';
import {refreshShares} from './refresh-shares.js';

const owner = 'operations';
const hashes: Readonly<Record<string, string>> = {a: 'a'.repeat(64), b: 'b'.repeat(64)};
const slots = 8;

type Options = {id?: string; queued?: number; repeatable?: boolean; withdrawn?: readonly string[]; zones?: readonly string[]; weights?: Readonly<Record<string, number>>};

function createCatalogue({queued = 100, repeatable = true, withdrawn = [], zones = ['zone-a'], weights = {a: 1, b: 1}}: Options) {
	const classes: readonly WorkClass[] = ['urgent', 'standard', 'bulk'];
	const parsed = parseCatalogue({
		organisations: {main: {owner}},
		teams: Object.fromEntries(Object.entries(weights).map(([name, share]) => [name, {
			owner, organisation: 'main', share, limits: {running: 1000, queued}, keys: {first: {hash: hashes[name]}},
		}])),
		pools: {web: {owner, limits: {slotsPerInstance: slots}}},
		services: {web: {owner, pool: 'web', limits: {unavailable: 1}}},
		queues: Object.fromEntries(classes.map(name => [name, {
			owner, service: 'web', class: name, repeatable,
		}])),
		zones: Object.fromEntries(zones.map(zone => [zone, {owner, region: 'main', withdrawn: withdrawn.includes(zone)}])),
	});
	assert.ok(parsed.ok);
	return parsed.catalogue;
}

function createTestNode(options: Options = {}): Node {
	const {id = 'entry-1', zones = ['zone-a']} = options;
	const node = createNode({id, zone: 'zone-a', soleHolder: true});
	apply(node, {type: 'catalogue-loaded', at: 0, snapshot: createSnapshot(createCatalogue(options), 1)});
	apply(node, {
		type: 'instances-listed', at: 0, instances: zones.map(zone => ({
			id: `worker-${zone}`, address: 'http://127.0.0.1:1', zone, rack: 'r-1', pool: 'web', state: 'live',
		})),
	});
	return node;
}

/** Applies events with a configuration that is always current. */
function apply(node: Node, ...events: readonly Event[]): Effect[] {
	return events.flatMap(event => {
		reduce(node, {type: 'configuration-confirmed', at: event.at});
		return reduce(node, event);
	});
}

function arrive(node: Node, team: string, queue: WorkClass, options: {count?: number; at?: number; deadlineMs?: number} = {}): Effect[] {
	const {count = 1, at = 1, deadlineMs = 30_000} = options;
	return Array.from({length: count}, (_, index) => apply(node, {
		type: 'request-arrived', at, arrival: {
			id: `${team}-${queue}-${at}-${index}`, queue, keyHash: hashes[team], bodyBytes: 0, deadlineMs,
		},
	})).flat();
}

function startsOf(effects: readonly Effect[], prefix = ''): Array<EffectOf<'start-attempt'>> {
	return effects.filter((effect): effect is EffectOf<'start-attempt'> => effect.type === 'start-attempt' && effect.taskId.startsWith(prefix));
}

function finish(node: Node, attemptId: string | undefined, at: number, outcome?: AttemptOutcome): Effect[] {
	return apply(node, {
		type: 'attempt-finished', at, attemptId: attemptId ?? '', outcome: outcome ?? {type: 'succeeded'},
	});
}

function summary(queued: number, options: {sequence?: number; at?: number; member?: string} = {}): Event {
	const {sequence = 2, at = 0, member = 'entry-2'} = options;
	const message: Summary = {
		type: 'summary', member, zone: 'zone-a', sequence, revision: 1, demand: {web: {b: {running: 0, queued, urgent: 0}}},
	};
	return {
		type: 'peer-received', at, from: member, message,
	};
}

// Guards against shares that are computed from summaries that are lost, late, duplicated or too old.
const summaries: ReadonlyArray<{name: string; events: readonly Event[]; at: number; expected: number}> = [
	{
		name: 'in time', events: [summary(20)], at: 1, expected: 4,
	},
	{
		name: 'lost', events: [], at: 1, expected: 8,
	},
	{
		name: 'duplicated', events: [summary(20), summary(20)], at: 1, expected: 4,
	},
	{
		name: 'received after a newer one', events: [summary(20), summary(0, {sequence: 1})], at: 1, expected: 4,
	},
	{
		name: 'older than the retention period', events: [summary(20)], at: 3100, expected: 8,
	},
];

for (const {name, events, at, expected} of summaries) {
	test(`counts the demand of another member only by a current summary: ${name}`, () => {
		const node = createTestNode();
		apply(node, ...events);
		const effects = [...arrive(node, 'a', 'standard', {count: 20, at}), ...apply(node, {type: 'tick', at: at + 100})];
		assert.equal(startsOf(effects).length, expected);
	});
}

test('raises a team to its share when another team floods the same node', () => {
	const node = createTestNode();
	const first = startsOf(arrive(node, 'a', 'standard', {count: 50}));
	assert.equal(first.length, slots);
	arrive(node, 'b', 'standard', {count: 50, at: 2});
	const next = first.flatMap(({attemptId}, index) => startsOf(finish(node, attemptId, 100 + (index * 50))));
	assert.equal(next.length, slots);
	assert.equal(startsOf(next, 'b-').length, 4);
});

// Guards against local shares whose sum differs from a team's share, however the demand is spread.
test('computes local shares that add up to the weighted max-min share over all nodes', () => {
	const counts = fc.array(fc.record({a: fc.nat(12), b: fc.nat(12), urgent: fc.nat(4)}), {minLength: 1, maxLength: 5});
	fc.assert(fc.property(counts, fc.integer({min: 1, max: 5}), (demand, weight) => {
		const weights = {a: weight, b: 1};
		const nodes = demand.map((_, index) => createTestNode({id: `entry-${index}`, weights}));
		for (const [index, {a, b, urgent}] of demand.entries()) {
			const node = nodes[index];
			assert.ok(node !== undefined);
			arrive(node, 'a', 'standard', {count: a});
			arrive(node, 'b', 'bulk', {count: b});
			arrive(node, 'a', 'urgent', {count: urgent});
		}

		const all = {a: 0, b: 0};
		for (const {a, b, urgent} of demand) {
			all.a += a + urgent;
			all.b += b;
		}

		const shares = divideCapacity(new Map([['a', {demand: all.a, weight}], ['b', {demand: all.b, weight: 1}]]), slots);
		const sums = {a: 0, b: 0};
		for (const node of nodes) {
			for (const other of nodes.filter(other => other !== node)) {
				const message: Summary = {
					type: 'summary', member: other.id, zone: 'zone-a', sequence: 1, revision: 1, demand: describeDemand(other),
				};
				apply(node, {
					type: 'peer-received', at: 2, from: other.id, message,
				});
			}

			refreshShares(node, 'web', 2, {force: true});
			for (const team of ['a', 'b'] as const) {
				sums[team] += node.shares.pools.get('web')?.accounts.get(team)?.localShare ?? 0;
			}
		}

		for (const team of ['a', 'b'] as const) {
			assert.ok(Math.abs(sums[team] - (shares.get(team) ?? 0)) < 1e-6, `${team}: ${sums[team]}, expected ${shares.get(team)}`);
		}
	}), {seed: 1, numRuns: 100});
});

test('starts urgent work at once in the reserved slots despite long bulk tasks', () => {
	const node = createTestNode();
	assert.equal(startsOf(arrive(node, 'a', 'bulk', {count: 30})).length, slots - 1);
	assert.equal(startsOf(arrive(node, 'a', 'urgent', {at: 2})).length, 1);
});

test('checkpoints bulk work for waiting urgent work, and resumes it as the same execution', () => {
	const node = createTestNode({repeatable: false});
	arrive(node, 'a', 'bulk', {count: 30});
	const [held] = startsOf(arrive(node, 'b', 'urgent', {at: 2}));
	arrive(node, 'b', 'urgent', {at: 600});
	const checkpoint = apply(node, {type: 'tick', at: 800}).find(effect => effect.type === 'checkpoint-attempt');
	assert.ok(checkpoint?.type === 'checkpoint-attempt');
	const [urgent] = startsOf(finish(node, checkpoint.attemptId, 850, {type: 'checkpointed'}));
	assert.equal(urgent?.taskId.startsWith('b-urgent'), true);
	const effects = [...finish(node, urgent?.attemptId, 900), ...finish(node, held?.attemptId, 900)];
	const [resumed] = startsOf(effects);
	assert.equal(resumed?.resumedAttemptId, checkpoint.attemptId);
	assert.equal(resumed?.workerId, checkpoint.workerId);
	assert.equal(node.tasks.byId.get(resumed?.taskId ?? '')?.countedAttempts, 1);
});

test('throttles bulk work that has just begun, as it would make no progress between checkpoints', () => {
	const node = createTestNode();
	arrive(node, 'a', 'bulk', {count: 30});
	arrive(node, 'b', 'urgent', {count: 2, at: 2});
	const types = new Set(apply(node, {type: 'tick', at: 200}).map(effect => effect.type));
	assert.ok(types.has('throttle-attempt') && !types.has('checkpoint-attempt'));
});

// Guards against the answer "not run" for a task that has run in part, and against a second run of it.
test('refuses a checkpointed task as "outcome unknown" when its progress is lost', () => {
	const node = createTestNode({repeatable: false});
	const [start] = startsOf(arrive(node, 'a', 'bulk'));
	const [resumed] = startsOf(finish(node, start?.attemptId, 600, {type: 'checkpointed'}));
	const refusal = finish(node, resumed?.attemptId, 700, {type: 'not-started', cause: 'checkpoint-unknown'}).find(effect => effect.type === 'refuse');
	assert.equal(refusal?.type === 'refuse' && refusal.refusal.execution, 'outcome unknown');
});

test('starts bulk work within its starvation bound under a flood of urgent work of its team', () => {
	const node = createTestNode();
	let running = startsOf(arrive(node, 'a', 'urgent', {count: 60})).map(({attemptId}) => attemptId);
	arrive(node, 'a', 'bulk');
	let startedAt: number | undefined;
	for (let at = 200; at <= 12_000 && startedAt === undefined; at += 200) {
		const effects = [...arrive(node, 'a', 'urgent', {count: running.length, at}), ...running.flatMap(attemptId => finish(node, attemptId, at))];
		running = startsOf(effects).map(({attemptId}) => attemptId);
		startedAt = startsOf(effects, 'a-bulk').length > 0 ? at : undefined;
	}

	// The starvation bound and three steps of the loop.
	assert.ok(startedAt !== undefined && startedAt <= 10_600, `started at ${startedAt}`);
});

test('bounds memory in overload: a full queue refuses at once as "not run"', () => {
	const node = createTestNode({queued: 5});
	const refused = arrive(node, 'a', 'standard', {count: 1000}).filter(effect => effect.type === 'refuse');
	assert.equal(node.tasks.byId.size, slots + 5);
	assert.equal(refused.length, 1000 - slots - 5);
	assert.ok(refused.every(effect => effect.type === 'refuse' && effect.refusal.reason === 'queue-full' && effect.refusal.execution === 'not run'));
});

test('refuses at once a request that will miss its deadline according to observed run times', () => {
	const node = createTestNode();
	let running = startsOf(arrive(node, 'a', 'standard', {count: 80})).map(({attemptId}) => attemptId);
	for (let at = 1001; at <= 4001; at += 1000) {
		running = running.flatMap(attemptId => startsOf(finish(node, attemptId, at))).map(({attemptId}) => attemptId);
	}

	// Each request arrives at a time of its own, as its identifier contains the time.
	const refusalOf = (deadlineMs: number): unknown => arrive(node, 'a', 'standard', {at: 4002 + deadlineMs, deadlineMs}).find(effect => effect.type === 'refuse');
	assert.deepEqual(refusalOf(1000), {type: 'refuse', taskId: 'a-standard-5002-0', refusal: {reason: 'deadline-exceeded', execution: 'not run'}});
	assert.equal(refusalOf(20_000), undefined);
});

// Guards against starts in a withdrawn availability zone, from the queue, by a retry or with saved progress.
const outcomes: ReadonlyArray<{name: string; outcome: AttemptOutcome; repeatable: boolean; expected: number}> = [
	{
		name: 'queued', outcome: {type: 'succeeded'}, repeatable: false, expected: 1,
	},
	{
		name: 'retried', outcome: {type: 'failed', status: 500}, repeatable: true, expected: 1,
	},
	{
		name: 'checkpointed, repeatable', outcome: {type: 'checkpointed'}, repeatable: true, expected: 1,
	},
	{
		name: 'checkpointed, not repeatable', outcome: {type: 'checkpointed'}, repeatable: false, expected: 1,
	},
];

for (const {name, outcome, repeatable, expected} of outcomes) {
	test(`starts nothing in a withdrawn availability zone: ${name}`, () => {
		const zones = ['zone-a', 'zone-b'];
		const node = createTestNode({zones, repeatable});
		const starts = startsOf(arrive(node, 'a', 'bulk', {count: 40}));
		const catalogue = createCatalogue({zones, repeatable, withdrawn: ['zone-a']});
		const effects = apply(node, {type: 'catalogue-loaded', at: 10, snapshot: createSnapshot(catalogue, 2)});
		for (const {attemptId, workerId} of starts) {
			effects.push(...finish(node, attemptId, workerId === 'worker-zone-a' ? 600 : 700, outcome));
		}

		const restarted = startsOf(effects);
		assert.ok(restarted.length >= expected);
		assert.ok(restarted.every(({workerId}) => workerId === 'worker-zone-b'));
		// A task that may not be repeated starts without its progress only if it has not run before.
		assert.ok(repeatable || restarted.every(({resumedAttemptId, taskId}) => (resumedAttemptId === undefined) === !starts.some(start => start.taskId === taskId)));
	});
}
