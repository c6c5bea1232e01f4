import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type AttemptOutcome} from '@rosemaryquay/core/node/event';
import {RequestFixture} from '../request-fixture.js';

const {describeOutcome, findAttemptId} = RequestFixture;

const failed: AttemptOutcome = {type: 'failed', status: 500};

// Guards against a retry that could run a request twice, a retry beyond the budget, and a false report of "not run".
const retries: ReadonlyArray<{name: string; queue: string; outcome: AttemptOutcome; tokens?: number; expected: string}> = [
	{
		name: 'failed, repeatable', queue: 'mail', outcome: failed, expected: 'start-attempt',
	},
	{
		name: 'failed, not repeatable', queue: 'orders', outcome: failed, expected: 'worker-failed, outcome unknown',
	},
	{
		name: 'failed, no budget', queue: 'mail', outcome: failed, tokens: 0.9, expected: 'retry-budget-exhausted, outcome unknown',
	},
	{
		name: 'connection refused', queue: 'orders', outcome: {type: 'not-started', cause: 'connection-refused'}, expected: 'start-attempt',
	},
	{
		name: 'connection refused, no budget', queue: 'orders', outcome: {type: 'not-started', cause: 'connection-refused'}, tokens: 0, expected: 'retry-budget-exhausted, not run',
	},
	{
		name: 'worker full, no budget', queue: 'orders', outcome: {type: 'not-started', cause: 'slots-full'}, tokens: 0, expected: 'start-attempt',
	},
	{
		name: 'lease lapsed', queue: 'orders', outcome: {type: 'not-started', cause: 'lease-lapsed'}, expected: 'start-attempt',
	},
	{
		name: 'attempt seen before', queue: 'orders', outcome: {type: 'not-started', cause: 'duplicate'}, expected: 'worker-lost, outcome unknown',
	},
	{
		name: 'answer of another attempt', queue: 'orders', outcome: {type: 'lost', cause: 'answer-mismatched'}, expected: 'worker-lost, outcome unknown',
	},
];

for (const {name, queue, outcome, tokens = 5, expected} of retries) {
	test(`retries or refuses: ${name}`, () => {
		const fixture = new RequestFixture();
		fixture.node.retries.retryTokens.set('web', tokens);
		const attemptId = findAttemptId(fixture.arrive('r-1', {queue}));
		assert.equal(describeOutcome([...fixture.finish(attemptId, outcome), ...fixture.advance(300)]), expected);
	});
}

test('reports "outcome unknown" when the deadline passes between two attempts', () => {
	const fixture = new RequestFixture({workers: 1});
	const attemptId = findAttemptId(fixture.arrive('r-1', {queue: 'mail', deadlineMs: 1000}));
	fixture.finish(attemptId, failed);
	fixture.list(['w-0']);
	assert.equal(describeOutcome(fixture.advance(1200)), 'deadline-exceeded, outcome unknown');
});

// Guards against exceeding a limit because a request keeps running after its deadline or without its caller.
for (const [queue, expectedCancellations, expectedRunning] of [['mail', 1, 0], ['orders', 0, 1]] as const) {
	test(`ends a request at its deadline while it runs on queue ${queue}`, () => {
		const fixture = new RequestFixture();
		const attemptId = findAttemptId(fixture.arrive('r-1', {queue, deadlineMs: 500}));
		const effects = fixture.advance(1000);
		assert.equal(describeOutcome(effects), 'deadline-exceeded-running, outcome unknown');
		assert.equal(effects.filter(effect => effect.type === 'cancel-attempt').length, expectedCancellations);
		assert.equal(fixture.node.limits.running.get('first'), expectedRunning);
		assert.equal(describeOutcome(fixture.finish(attemptId)), 'nothing');
		assert.equal(fixture.node.limits.running.get('first'), 0);
	});
}

// Six consecutive failures on at least three workers park a request for 60 s, so six of the eight arrivals start.
test('parks a request that fails on every worker and admits it again after the parking time', () => {
	const fixture = new RequestFixture();
	const reasons: string[] = [];
	for (let index = 0; index < 8; index++) {
		const started = fixture.arrive(`r-${index}`);
		reasons.push(describeOutcome(started));
		fixture.finish(findAttemptId(started), failed);
	}

	assert.equal(reasons.filter(reason => reason === 'start-attempt').length, 6);
	assert.equal(reasons.at(-1), 'request-parked, not run');
	assert.equal(describeOutcome(fixture.arrive('other', {fingerprint: 'f-2'})), 'start-attempt');
	fixture.advance(61_000);
	assert.equal(describeOutcome(fixture.arrive('later')), 'start-attempt');
});

/**
 * Submits repeatable requests one after another: w-0 fails every request, the other workers succeed.
 * Cancels each request afterwards, so that a failed one is not retried. Returns the workers in the order of the starts.
 */
function submitAndCollectWorkers(fixture: RequestFixture, count: number, prefix: string): string[] {
	const workers: string[] = [];
	for (let index = 0; index < count; index++) {
		const start = fixture.arrive(`${prefix}-${index}`, {queue: 'mail', fingerprint: `${prefix}-${index}`}).find(effect => effect.type === 'start-attempt');
		if (start !== undefined) {
			workers.push(start.workerId);
			fixture.finish(start.attemptId, start.workerId === 'w-0' ? failed : {type: 'succeeded'});
			fixture.apply({type: 'request-cancelled', at: fixture.at, taskId: `${prefix}-${index}`});
		}
	}

	return workers;
}

test('ejects a worker that fails every request, probes it and reinstates it', () => {
	const fixture = new RequestFixture();
	submitAndCollectWorkers(fixture, 200, 'a');
	assert.equal(fixture.node.placement.workers.get('w-0')?.health, 'ejected');
	assert.ok(!submitAndCollectWorkers(fixture, 50, 'b').includes('w-0'));
	fixture.advance(5100);
	assert.equal(submitAndCollectWorkers(fixture, 50, 'c').filter(worker => worker === 'w-0').length, 1);
	fixture.advance(11_000);
	for (let probe = 0; probe < 3; probe++) {
		fixture.finish(findAttemptId(fixture.arrive(`p-${probe}`, {queue: 'mail'})));
	}

	assert.equal(fixture.node.placement.workers.get('w-0')?.health, 'healthy');
});

test('ejects at most a quarter of a pool', () => {
	const fixture = new RequestFixture({workers: 8});
	for (let index = 0; index < 400; index++) {
		fixture.finish(findAttemptId(fixture.arrive(`r-${index}`, {fingerprint: `f-${index}`})), failed);
	}

	const ejected = [...fixture.node.placement.workers.values()].filter(worker => worker.health === 'ejected');
	assert.equal(ejected.length, 2);
});

// Guards against starting requests on instances that the platform or the operators have withdrawn.
const excluded: ReadonlyArray<{name: string; allowed: readonly string[]; exclude(fixture: RequestFixture): void}> = [
	{
		name: 'withdrawn zone',
		allowed: ['w-1', 'w-3'],
		exclude(fixture) {
			fixture.loadCatalogue(['zone-a']);
		},
	},
	{
		name: 'listed as leaving',
		allowed: ['w-3'],
		exclude(fixture) {
			fixture.list(['w-0', 'w-1', 'w-2']);
		},
	},
	{
		name: 'refused as leaving',
		exclude(fixture) {
			const start = fixture.arrive('first').find(effect => effect.type === 'start-attempt');
			assert.equal(start?.workerId, 'w-0');
			fixture.finish(start.attemptId, {type: 'not-started', cause: 'leaving'});
			fixture.list();
		},
		allowed: ['w-1', 'w-2', 'w-3'],
	},
];

for (const {name, exclude, allowed} of excluded) {
	test(`starts no request on excluded workers: ${name}`, () => {
		const fixture = new RequestFixture({runningLimit: 100});
		if (name === 'refused as leaving') {
			fixture.list(['w-2']);
		}

		exclude(fixture);
		for (let index = 0; index < 40; index++) {
			const start = fixture.arrive(`r-${index}`).find(effect => effect.type === 'start-attempt');
			assert.ok(start === undefined || allowed.includes(start.workerId), start?.workerId);
		}
	});
}

test('prefers the local availability zone and spills over when it is full', () => {
	const fixture = new RequestFixture({runningLimit: 100});
	const zones: string[] = [];
	for (let index = 0; index < 32; index++) {
		const start = fixture.arrive(`r-${index}`).find(effect => effect.type === 'start-attempt');
		zones.push(fixture.node.placement.workers.get(start?.workerId ?? '')?.instance.zone ?? 'none');
	}

	assert.deepEqual(new Set(zones.slice(0, 16)), new Set(['zone-a']));
	assert.deepEqual(new Set(zones.slice(16)), new Set(['zone-b']));
});

// Four workers with 8 slots each: the 18 requests fill both workers of zone-b (16) and the one slot that each of the two
// workers of zone-a has at first. After the ramp-up time of 10 s, the 14 further requests fill the other 7 slots of each.
test('ramps up a restored availability zone gradually', () => {
	const fixture = new RequestFixture({runningLimit: 100});
	fixture.loadCatalogue(['zone-a']);
	fixture.loadCatalogue([]);
	for (let index = 0; index < 18; index++) {
		fixture.arrive(`r-${index}`);
	}

	assert.equal(fixture.node.placement.workers.get('w-0')?.running, 1);
	fixture.advance(10_100);
	for (let index = 18; index < 32; index++) {
		fixture.arrive(`r-${index}`);
	}

	assert.equal(fixture.node.placement.workers.get('w-0')?.running, 8);
});

// Guards against exceeding an upper limit because a request keeps running after its caller has disconnected.
test('keeps the slot of a running request that is not repeatable until it ends', () => {
	const fixture = new RequestFixture({runningLimit: 1});
	const attemptId = findAttemptId(fixture.arrive('r-1'));
	fixture.arrive('r-2', {fingerprint: 'f-2'});
	const cancel = {type: 'request-cancelled', at: 0, taskId: 'r-1'} as const;
	assert.deepEqual([...fixture.apply(cancel), ...fixture.apply(cancel)], []);
	assert.equal(fixture.node.limits.running.get('first'), 1);
	assert.equal(describeOutcome(fixture.finish(attemptId)), 'start-attempt');
	assert.equal(fixture.node.limits.running.get('first'), 1);
});

test('frees all tasks, attempts and slots after many cancellations', () => {
	const fixture = new RequestFixture({runningLimit: 20});
	for (let index = 0; index < 200; index++) {
		fixture.arrive(`r-${index}`, {queue: 'mail', fingerprint: `f-${index}`});
	}

	for (let index = 0; index < 200; index++) {
		fixture.apply({type: 'request-cancelled', at: fixture.at, taskId: `r-${index}`});
	}

	const {tasks, limits, placement} = fixture.node;
	assert.deepEqual([tasks.byId.size, tasks.attempts.size, limits.running.get('first')], [0, 0, 0]);
	assert.ok([...placement.workers.values()].every(worker => worker.running === 0));
});

test('does not start a task whose deadline passed while the process was paused', () => {
	const fixture = new RequestFixture({runningLimit: 1});
	const attemptId = findAttemptId(fixture.arrive('r-1'));
	fixture.arrive('r-2', {deadlineMs: 1000});
	fixture.at = 20_000;
	assert.equal(describeOutcome(fixture.finish(attemptId).filter(effect => effect.type !== 'answer')), 'deadline-exceeded, not run');
});

test('starts no request on workers that other instances have filled, until the usage report expires', () => {
	const fixture = new RequestFixture({runningLimit: 100});
	fixture.apply({type: 'usage-reported', at: 0, usage: ['w-0', 'w-1', 'w-2'].map(workerId => ({workerId, runningSlots: 8}))});
	const started = fixture.arrive('r-1').find(effect => effect.type === 'start-attempt');
	assert.equal(started?.workerId, 'w-3');
	fixture.advance(3100);
	const later = fixture.arrive('r-2').find(effect => effect.type === 'start-attempt');
	assert.ok(['w-0', 'w-2'].includes(later?.workerId ?? ''));
});

test('retries outside an availability zone that was withdrawn after the first attempt', () => {
	const fixture = new RequestFixture();
	const attemptId = findAttemptId(fixture.arrive('r-1', {queue: 'mail'}));
	fixture.loadCatalogue(['zone-a']);
	fixture.finish(attemptId, failed);
	const retried = fixture.advance(300).find(effect => effect.type === 'start-attempt');
	assert.equal(fixture.node.placement.workers.get(retried?.workerId ?? '')?.instance.zone, 'zone-b');
});

// Guards against workers that belong to the subset of no instance.
test('covers all workers of a large pool with the subsets of all instances', () => {
	const peers = Array.from({length: 12}, (_, index) => `entry-${index + 1}`);
	const covered = new Set<string>();
	for (const id of peers) {
		const {own, other} = new RequestFixture({id, peers, workers: 1000}).node.placement.subsets.get('web') ?? {own: [], other: []};
		assert.ok(own.length + other.length <= 200, `${own.length + other.length} workers`);
		for (const worker of [...own, ...other]) {
			covered.add(worker.instance.id);
		}
	}

	assert.equal(covered.size, 1000);
});

test('does not wait for a retry that would start after the deadline', () => {
	const fixture = new RequestFixture();
	const attemptId = findAttemptId(fixture.arrive('r-1', {queue: 'mail', deadlineMs: 20}));
	assert.equal(describeOutcome(fixture.finish(attemptId, failed)), 'worker-failed, outcome unknown');
});
