import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {memberLeaseTtlMs, portionReturnTimeoutMs, reclaimDelayMs} from '../constants.js';
import {Cluster, createCatalogue, type StoreBehaviour} from './cluster.test.js';

const settleMs = 4000;

function sum(portions: Record<string, number>): number {
	return Object.values(portions).reduce((total, count) => total + count, 0);
}

// Guards against more running tasks than the limit, and against capacity that stays lost after a fault.
const faults: ReadonlyArray<{name: string; apply(cluster: Cluster): void}> = [
	{
		name: 'holders race for the whole limit', apply() {
			// No fault: the requests of all holders compete.
		},
	},
	...(['answer-twice', 'lose-answer', 'lose-call', 'unavailable', 'apply-later'] as const).map(behaviour => ({
		name: `the store handles every second call as: ${behaviour}`, apply(cluster: Cluster) {
			let calls = 0;
			cluster.chooseBehaviour = () => {
				calls += 1;
				return calls % 2 === 0 ? behaviour : 'answer';
			};

			cluster.advance(settleMs);
			cluster.chooseBehaviour = () => 'answer';
			for (const call of cluster.delayed) {
				cluster.apply(call);
			}
		},
	})),
	{
		name: 'the store is unavailable for a minute', apply(cluster) {
			cluster.advance(settleMs);
			cluster.storeDown = true;
			cluster.finishTasks('entry-1', 3);
			cluster.advance(60_000);
			assert.equal(cluster.running.size, cluster.limit, 'tasks continue to start within the held portions');
			cluster.storeDown = false;
		},
	},
	{
		name: 'a holder pauses for longer than its lease', apply(cluster) {
			cluster.advance(settleMs);
			cluster.member('entry-1').paused = true;
			cluster.advance(memberLeaseTtlMs + reclaimDelayMs + 3000);
			assert.equal(cluster.portions['entry-1'], undefined, 'the portion was reclaimed');
			cluster.resume('entry-1');
		},
	},
	{
		name: 'a holder is partitioned from the store, then the store becomes unavailable and recovers', apply(cluster) {
			cluster.advance(settleMs);
			cluster.member('entry-1').partitioned = true;
			cluster.advance(memberLeaseTtlMs + reclaimDelayMs + 3000);
			cluster.storeDown = true;
			cluster.advance(5000);
			cluster.storeDown = false;
			cluster.member('entry-1').partitioned = false;
		},
	},
	{
		name: 'a holder crashes', apply(cluster) {
			cluster.advance(settleMs);
			cluster.member('entry-1').paused = true;
			cluster.advance(memberLeaseTtlMs + reclaimDelayMs + 2000);
			assert.equal(cluster.portions['entry-1'], undefined, 'the portion is reclaimed once the lease has ended and the reclaim delay has passed');
		},
	},
	{
		name: 'a holder registers again during the reclaim delay of its portion', apply(cluster) {
			cluster.advance(settleMs);
			cluster.member('entry-1').paused = true;
			cluster.advance(memberLeaseTtlMs + reclaimDelayMs - 1000);
			cluster.resume('entry-1');
			cluster.advance(1000);
			assert.ok([...cluster.running.values()].some(({member}) => member === cluster.member('entry-1')));
			cluster.member('entry-1').partitioned = true;
			cluster.advance(memberLeaseTtlMs + 3000);
		},
	},
];

for (const {name, apply} of faults) {
	test(`never exceeds the limit, and uses all of it afterwards, when ${name}`, () => {
		const cluster = new Cluster(10);
		for (const id of cluster.members.keys()) {
			cluster.request(id, 60);
		}

		apply(cluster);
		for (let round = 0; round < 150; round++) {
			cluster.advance(200);
			for (const id of cluster.members.keys()) {
				cluster.finishTasks(id, round % 2);
			}
		}

		assert.ok(sum(cluster.portions) <= 10);
		cluster.request('entry-2', 30);
		cluster.advance(settleMs);
		assert.equal(cluster.running.size, 10);
	});
}

// Guards against starts under a lowered limit while tasks of other holders still run above it.
test('starts nothing under a lowered limit until the tasks of all holders fit it', () => {
	const cluster = new Cluster(12);
	cluster.request('entry-1', 9);
	cluster.advance(settleMs);
	cluster.request('entry-2', 20);
	cluster.advance(settleMs);
	assert.equal(cluster.running.size, 12);
	cluster.setLimit(4);
	cluster.advance(settleMs);
	for (const id of ['entry-2', 'entry-2', 'entry-2', 'entry-1', 'entry-1', 'entry-1', 'entry-1', 'entry-1']) {
		cluster.finishTasks(id);
		cluster.advance(settleMs);
	}

	cluster.finishTasks('entry-1');
	cluster.advance(settleMs);
	assert.equal(cluster.running.size, 4);
	cluster.setLimit(8);
	cluster.advance(settleMs);
	assert.equal(cluster.running.size, 8);
});

// Guards against a reclaim that relies on a wrong member list alone.
test('does not reclaim the portion of a holder whose member record exists', () => {
	const cluster = new Cluster(10);
	cluster.request('entry-1', 8);
	cluster.advance(settleMs);
	cluster.member('entry-1').unlisted = true;
	cluster.request('entry-2', 8);
	cluster.advance(reclaimDelayMs * 3);
	assert.equal(cluster.portions['entry-1'], 8);
	assert.equal(cluster.running.size, 10);
});

test('moves idle portions to the holder with the demand', () => {
	const cluster = new Cluster(10);
	cluster.request('entry-1', 10);
	cluster.advance(settleMs);
	cluster.finishTasks('entry-1', 9);
	cluster.request('entry-2', 9);
	cluster.advance(settleMs);
	assert.equal(cluster.running.size, 10);
});

// Guards against capacity that is freed twice or not returned, and against a shutdown that hangs.
test('returns the portions once before a shutdown finishes, however often it is requested', () => {
	const cluster = new Cluster(10);
	cluster.request('entry-1', 10);
	cluster.request('entry-2', 20);
	cluster.advance(settleMs);
	const member = cluster.member('entry-1');
	for (let time = 0; time < 2; time++) {
		cluster.send(member, {type: 'shutdown-requested', at: cluster.now});
	}

	cluster.finishTasks('entry-1', 10);
	cluster.chooseBehaviour = () => 'answer-twice';
	cluster.advance(settleMs);
	assert.ok(member.shutdownFinished);
	assert.equal(member.portionAtShutdown, undefined);
	assert.deepEqual(Object.keys(cluster.portions), ['entry-2']);
	assert.equal(cluster.running.size, 10);
});

test('finishes a shutdown while the store is unavailable', () => {
	const cluster = new Cluster(10);
	cluster.request('entry-1', 1);
	cluster.advance(settleMs);
	cluster.storeDown = true;
	cluster.send(cluster.member('entry-1'), {type: 'shutdown-requested', at: cluster.now});
	cluster.finishTasks('entry-1');
	cluster.advance(portionReturnTimeoutMs + 500);
	assert.ok(cluster.member('entry-1').shutdownFinished);
});

// Guards against any sequence of faults that lets a team exceed its limit.
test('never exceeds the limit under random faults', () => {
	const id = fc.constantFrom('entry-1', 'entry-2', 'entry-3');
	const behaviour = fc.constantFrom<StoreBehaviour>('answer', 'answer', 'answer', 'answer-twice', 'lose-answer', 'lose-call', 'unavailable', 'apply-later');
	const commands = fc.oneof(
		fc.tuple(id, fc.nat({max: 12})).map(([name, count]) => (cluster: Cluster) => {
			cluster.request(name, count);
		}),
		fc.tuple(id, fc.nat({max: 12})).map(([name, count]) => (cluster: Cluster) => {
			cluster.finishTasks(name, count);
		}),
		fc.constantFrom(100, 300, 1000, 3000, 9000).map(durationMs => (cluster: Cluster) => {
			cluster.advance(durationMs);
		}),
		fc.array(behaviour, {minLength: 1, maxLength: 6}).map(behaviours => (cluster: Cluster) => {
			let calls = 0;
			cluster.chooseBehaviour = () => behaviours[calls++ % behaviours.length] ?? 'answer';
		}),
		fc.nat({max: 3}).map(index => (cluster: Cluster) => {
			for (const call of cluster.delayed.splice(index, 1)) {
				cluster.apply(call);
			}
		}),
		id.map(name => (cluster: Cluster) => {
			cluster.member(name).paused = true;
		}),
		id.map(name => (cluster: Cluster) => {
			cluster.resume(name);
		}),
		fc.tuple(id, fc.boolean()).map(([name, partitioned]) => (cluster: Cluster) => {
			cluster.member(name).partitioned = partitioned;
		}),
		fc.boolean().map(down => (cluster: Cluster) => {
			cluster.storeDown = down;
		}),
	);
	fc.assert(fc.property(fc.array(commands, {minLength: 10, maxLength: 60}), steps => {
		const cluster = new Cluster(7);
		for (const step of steps) {
			step(cluster);
			assert.ok(sum(cluster.portions) <= 7);
		}
	}), {seed: 20_260_104, numRuns: 300});
});

// Guards against a store call for each team: the records of 430 teams fit into 9 batches of 48, and the call rate allows
// 4 + 5000 / 150 calls in 5 s.
test('makes few store calls with 430 teams', () => {
	const names = Array.from({length: 430}, (_, index) => `team-${index}`);
	const {teams, queues, ...rest} = createCatalogue(100);
	const snapshot = createSnapshot({
		...rest,
		teams: Object.fromEntries(names.map(name => [name, {...teams.main!, keys: {}}])),
		queues: Object.fromEntries(names.map(name => [name, {...queues.mail!, open: true, team: name}])),
	}, 1000);
	const cluster = new Cluster(1000, ['entry-1']);
	const member = cluster.member('entry-1');
	cluster.send(member, {type: 'catalogue-loaded', at: cluster.now, snapshot});
	for (const queue of names) {
		cluster.send(member, {type: 'request-arrived', at: cluster.now, arrival: {id: queue, queue, bodyBytes: 0}});
	}

	const before = cluster.calls;
	cluster.advance(5000);
	assert.equal(cluster.running.size, 430);
	assert.ok(cluster.calls - before <= 40, `${cluster.calls - before} calls in 5 s`);
});
