import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {catalogueSchema} from '../catalogue/schema.js';
import {
	clockDriftMarginMs, memberLeaseTtlMs, portionReturnTimeoutMs, reclaimDelayMs, taskLeaseTtlMs, tickIntervalMs,
} from '../constants.js';
import {createNode} from '../node/create-node.js';
import {type EffectOf} from '../node/effect.js';
import {type Event} from '../node/event.js';
import {type Node} from '../node/node.js';
import {reduce} from '../node/reduce.js';
import {type Entry, type TransactionResult} from '../store/transaction.js';
import {recordSchema} from './record.js';

const owner = 'operations';
const key = 'rosemaryquay/limits/main';

function createCatalogue(running: number) {
	return catalogueSchema.parse({
		organisations: {main: {owner}},
		teams: {
			main: {
				owner, organisation: 'main', share: 1, limits: {running}, keys: {first: {hash: 'a'.repeat(64)}},
			},
		},
		pools: {web: {owner, limits: {slotsPerInstance: 1000}}},
		services: {web: {owner, pool: 'web', limits: {unavailable: 0}}},
		queues: {mail: {owner, service: 'web', limits: {deadlineMs: 600_000}}},
		zones: {'zone-a': {owner, region: 'main'}},
	});
}

type Member = {
	readonly node: Node;
	readonly held: Event[];
	registration: string;
	renewedAt: number;
	leaseUntil: number;
	halted: boolean;
	partitioned: boolean;
	unlisted: boolean;
	finished: boolean;
	portionAtEnd: number | undefined;
};

type Call = {readonly member: Member; readonly effect: EffectOf<'store-transact'>};

/** How the store treats a call. `delay` tells the caller nothing and takes effect later. */
type Treatment = 'answer' | 'twice' | 'lose' | 'drop' | 'unavailable' | 'delay';

/** Nodes with one team, a compare-and-swap store and workers, on virtual time. */
class Cluster {
	now = 0;
	limit: number;
	storeDown = false;
	calls = 0;
	readonly members = new Map<string, Member>();
	readonly entries = new Map<string, Entry>();
	/** Attempts at workers, with the end of their task leases. */
	readonly running = new Map<string, {readonly member: Member; leaseUntil: number}>();
	readonly delayed: Call[] = [];
	readonly #pending: Call[] = [];
	#revision = 1;
	#requests = 0;

	constructor(limit: number, ids: readonly string[] = ['entry-1', 'entry-2', 'entry-3']) {
		this.limit = limit;
		for (const id of ids) {
			this.join(id);
		}

		this.advance(200);
	}

	treat: () => Treatment = () => 'answer';

	join(id: string): void {
		const member: Member = {
			node: createNode({id, zone: 'zone-a'}),
			held: [],
			registration: '',
			renewedAt: Number.NEGATIVE_INFINITY,
			leaseUntil: Number.NEGATIVE_INFINITY,
			halted: false,
			partitioned: false,
			unlisted: false,
			finished: false,
			portionAtEnd: undefined,
		};
		this.members.set(id, member);
		this.send(member, {
			type: 'instances-listed', at: this.now, instances: [{
				id: 'w-1', address: 'http://127.0.0.1:1', zone: 'zone-a', rack: 'r-1', pool: 'web', state: 'live',
			}],
		});
		this.setLimit(this.limit, [id]);
	}

	member(id: string): Member {
		const member = this.members.get(id);
		assert.ok(member);
		return member;
	}

	setLimit(limit: number, ids: Iterable<string> = this.members.keys()): void {
		this.limit = limit;
		this.#revision += 1;
		for (const id of ids) {
			this.send(this.member(id), {type: 'catalogue-loaded', at: this.now, snapshot: createSnapshot(createCatalogue(limit), this.#revision)});
		}
	}

	request(id: string, count = 1): void {
		for (let index = 0; index < count; index++) {
			this.#requests += 1;
			this.send(this.member(id), {
				type: 'request-arrived', at: this.now, arrival: {
					id: `r-${this.#requests}`, queue: 'mail', keyHash: 'a'.repeat(64), bodyBytes: 0,
				},
			});
		}
	}

	/** Ends the oldest tasks of a node. */
	finish(id: string, count = 1): void {
		const own = [...this.running].filter(([, {member}]) => member === this.member(id)).slice(0, count);
		for (const [attemptId, {member}] of own) {
			this.running.delete(attemptId);
			this.send(member, {
				type: 'attempt-finished', at: this.now, attemptId, outcome: {type: 'succeeded'},
			});
		}
	}

	send(member: Member, event: Event): void {
		if (member.halted) {
			member.held.push(event);
			return;
		}

		for (const effect of reduce(member.node, {...event, at: this.now})) {
			if (effect.type === 'store-transact') {
				this.calls += 1;
				this.#pending.push({member, effect});
			} else if (effect.type === 'start-attempt') {
				this.running.set(effect.attemptId, {member, leaseUntil: this.now + taskLeaseTtlMs});
				assert.ok(this.running.size <= this.limit, `${this.running.size} tasks run under a limit of ${this.limit} at ${this.now} ms`);
			}

			if (effect.type === 'shutdown-finished') {
				member.finished = true;
				member.portionAtEnd = this.portions[member.node.id];
				member.halted = true;
			}
		}
	}

	resume(id: string): void {
		const member = this.member(id);
		member.halted = false;
		for (const event of member.held.splice(0)) {
			this.send(member, event);
		}
	}

	apply({effect}: Call): TransactionResult {
		const {compare, success, failure} = effect.transaction;
		const succeeded = compare.every(({key, modRevision}) => (this.#read(key)?.modRevision ?? 0) === modRevision);
		const entries: Array<Entry | undefined> = [];
		for (const operation of succeeded ? success : failure) {
			if (operation.type === 'put') {
				this.#revision += 1;
				this.entries.set(operation.key, {key: operation.key, value: operation.value, modRevision: this.#revision});
			} else {
				entries.push(this.#read(operation.key));
			}
		}

		return {succeeded, revision: this.#revision, entries};
	}

	advance(durationMs: number): void {
		for (const until = this.now + durationMs; this.now < until;) {
			this.now += tickIntervalMs;
			this.#settle();
			for (const member of this.members.values()) {
				this.#live(member);
			}

			this.#settle();
			for (const [attemptId, task] of this.running) {
				if (task.leaseUntil <= this.now) {
					this.running.delete(attemptId);
					this.send(task.member, {
						type: 'attempt-finished', at: this.now, attemptId, outcome: {type: 'lost', cause: 'connection-lost'},
					});
				}
			}
		}
	}

	/** Portions of the record by holder. */
	get portions(): Record<string, number> {
		const entry = this.entries.get(key);
		const record = entry === undefined ? undefined : recordSchema.parse(JSON.parse(entry.value));
		return Object.fromEntries(Object.entries(record?.portions ?? {}).map(([holder, {count}]) => [holder, count]));
	}

	#read(key: string): Entry | undefined {
		const member = this.members.get(key.split('members/')[1] ?? '');
		if (member !== undefined) {
			return member.leaseUntil > this.now ? {key, value: '', modRevision: 1} : undefined;
		}

		return this.entries.get(key);
	}

	/** Renews leases as the daemon and the membership code do. */
	#live(member: Member): void {
		if (this.storeDown && member.leaseUntil > this.now) {
			// Leases do not run out while the store is down.
			member.leaseUntil = this.now + memberLeaseTtlMs;
		}

		if (member.halted) {
			return;
		}

		if (!this.storeDown && !member.partitioned && this.now - member.renewedAt >= memberLeaseTtlMs / 3) {
			member.registration = member.leaseUntil > this.now ? member.registration : String(this.now);
			member.renewedAt = this.now;
			member.leaseUntil = this.now + memberLeaseTtlMs;
			this.send(member, {type: 'members-observed', at: this.now, lease: {registration: member.registration, validUntil: member.leaseUntil - clockDriftMarginMs}});
		}

		if (!this.storeDown && !member.partitioned) {
			const present = [...this.members].filter(([, {leaseUntil, unlisted}]) => leaseUntil > this.now && !unlisted).map(([id, {registration}]) => ({id, registration}));
			this.send(member, {type: 'members-observed', at: this.now, present});
		} else if (this.storeDown) {
			this.send(member, {type: 'members-observed', at: this.now, storeAwayUntil: this.now + 1000});
		}

		const {leaseValidUntil, storeAwayUntil} = member.node.limits.liveness;
		for (const task of this.now < Math.max(leaseValidUntil, storeAwayUntil) ? this.running.values() : []) {
			task.leaseUntil = task.member === member ? this.now + taskLeaseTtlMs : task.leaseUntil;
		}

		this.send(member, {type: 'configuration-confirmed', at: this.now});
		this.send(member, {type: 'tick', at: this.now});
	}

	#settle(): void {
		for (let call = this.#pending.shift(); call !== undefined; call = this.#pending.shift()) {
			const {member, effect} = call;
			const treatment = this.storeDown ? 'unavailable' : (member.partitioned ? 'drop' : this.treat());
			const applied = treatment === 'answer' || treatment === 'twice' || treatment === 'lose' ? this.apply(call) : undefined;
			if (treatment === 'delay') {
				this.delayed.push(call);
			}

			const failure = {ok: false, reason: treatment === 'unavailable' ? 'unavailable' : 'outcome-unknown'} as const;
			const event: Event = {
				type: 'store-transacted', at: this.now, purpose: 'portion', id: effect.id, outcome: applied === undefined || treatment === 'lose' ? failure : {ok: true, value: applied},
			};
			this.send(member, event);
			if (treatment === 'twice') {
				this.send(member, event);
			}
		}
	}
}

const settleMs = 4000;

function sum(portions: Record<string, number>): number {
	return Object.values(portions).reduce((total, count) => total + count, 0);
}

// Guards against work above the limit, and against capacity that a fault loses for good.
const faults: ReadonlyArray<{name: string; apply(cluster: Cluster): void}> = [
	{
		name: 'holders race for the whole limit', apply() {
			// The requests alone race.
		},
	},
	...(['twice', 'lose', 'drop', 'unavailable', 'delay'] as const).map(treatment => ({
		name: `every second call meets: ${treatment}`, apply(cluster: Cluster) {
			let calls = 0;
			cluster.treat = () => {
				calls += 1;
				return calls % 2 === 0 ? treatment : 'answer';
			};

			cluster.advance(settleMs);
			cluster.treat = () => 'answer';
			for (const call of cluster.delayed) {
				cluster.apply(call);
			}
		},
	})),
	{
		name: 'the store is away for a minute', apply(cluster) {
			cluster.advance(settleMs);
			cluster.storeDown = true;
			cluster.finish('entry-1', 3);
			cluster.advance(60_000);
			assert.equal(cluster.running.size, cluster.limit, 'work goes on within held portions');
			cluster.storeDown = false;
		},
	},
	{
		name: 'a holder pauses for longer than its lease', apply(cluster) {
			cluster.advance(settleMs);
			cluster.member('entry-1').halted = true;
			cluster.advance(memberLeaseTtlMs + reclaimDelayMs + 3000);
			assert.equal(cluster.portions['entry-1'], undefined, 'the portion was reclaimed');
			cluster.resume('entry-1');
		},
	},
	{
		name: 'a holder is cut off from the store, then the store goes away and returns', apply(cluster) {
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
			cluster.member('entry-1').halted = true;
			cluster.advance(memberLeaseTtlMs + reclaimDelayMs + 2000);
			assert.equal(cluster.portions['entry-1'], undefined, 'the portion is reclaimed within the bound');
		},
	},
	{
		name: 'a holder registers again while its portion waits for the reclaim', apply(cluster) {
			cluster.advance(settleMs);
			cluster.member('entry-1').halted = true;
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
	test(`holds the limit and uses it when ${name}`, () => {
		const cluster = new Cluster(10);
		for (const id of cluster.members.keys()) {
			cluster.request(id, 60);
		}

		apply(cluster);
		for (let round = 0; round < 150; round++) {
			cluster.advance(200);
			for (const id of cluster.members.keys()) {
				cluster.finish(id, round % 2);
			}
		}

		assert.ok(sum(cluster.portions) <= 10);
		cluster.request('entry-2', 30);
		cluster.advance(settleMs);
		assert.equal(cluster.running.size, 10);
	});
}

// Guards against starts that count the tasks of other holders as ended when the limit was lowered.
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
		cluster.finish(id);
		cluster.advance(settleMs);
	}

	cluster.finish('entry-1');
	cluster.advance(settleMs);
	assert.equal(cluster.running.size, 4);
	cluster.setLimit(8);
	cluster.advance(settleMs);
	assert.equal(cluster.running.size, 8);
});

// Guards against a reclaim on the word of a wrong member list alone.
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
	cluster.finish('entry-1', 9);
	cluster.request('entry-2', 9);
	cluster.advance(settleMs);
	assert.equal(cluster.running.size, 10);
});

// Guards against capacity that is freed twice, left behind, or a shutdown that hangs.
test('returns the portions once before a shutdown finishes, however often it is requested', () => {
	const cluster = new Cluster(10);
	cluster.request('entry-1', 10);
	cluster.request('entry-2', 20);
	cluster.advance(settleMs);
	const member = cluster.member('entry-1');
	for (let time = 0; time < 2; time++) {
		cluster.send(member, {type: 'shutdown-requested', at: cluster.now});
	}

	cluster.finish('entry-1', 10);
	cluster.treat = () => 'twice';
	cluster.advance(settleMs);
	assert.ok(member.finished);
	assert.equal(member.portionAtEnd, undefined);
	assert.deepEqual(Object.keys(cluster.portions), ['entry-2']);
	assert.equal(cluster.running.size, 10);
});

test('finishes a shutdown while the store is away', () => {
	const cluster = new Cluster(10);
	cluster.request('entry-1', 1);
	cluster.advance(settleMs);
	cluster.storeDown = true;
	cluster.send(cluster.member('entry-1'), {type: 'shutdown-requested', at: cluster.now});
	cluster.finish('entry-1');
	cluster.advance(portionReturnTimeoutMs + 500);
	assert.ok(cluster.member('entry-1').finished);
});

// Guards against any order of faults that brings a team above its limit.
test('never exceeds the limit under random faults', () => {
	const id = fc.constantFrom('entry-1', 'entry-2', 'entry-3');
	const treatment = fc.constantFrom<Treatment>('answer', 'answer', 'answer', 'twice', 'lose', 'drop', 'unavailable', 'delay');
	const commands = fc.oneof(
		fc.tuple(id, fc.nat({max: 12})).map(([name, count]) => (cluster: Cluster) => {
			cluster.request(name, count);
		}),
		fc.tuple(id, fc.nat({max: 12})).map(([name, count]) => (cluster: Cluster) => {
			cluster.finish(name, count);
		}),
		fc.constantFrom(100, 300, 1000, 3000, 9000).map(durationMs => (cluster: Cluster) => {
			cluster.advance(durationMs);
		}),
		fc.array(treatment, {minLength: 1, maxLength: 6}).map(treatments => (cluster: Cluster) => {
			let calls = 0;
			cluster.treat = () => treatments[calls++ % treatments.length] ?? 'answer';
		}),
		fc.nat({max: 3}).map(index => (cluster: Cluster) => {
			for (const call of cluster.delayed.splice(index, 1)) {
				cluster.apply(call);
			}
		}),
		id.map(name => (cluster: Cluster) => {
			cluster.member(name).halted = true;
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
