/**
 * In-memory nodes, store and workers for the tests of the upper limits. This file contains no tests.
 */
import assert from 'node:assert/strict';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {catalogueSchema} from '../catalogue/schema.js';
import {
	clockDriftMarginMs, memberLeaseTtlMs, taskLeaseTtlMs, tickIntervalMs,
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

export function createCatalogue(running: number) {
	return catalogueSchema.parse({
		organisations: {main: {owner}},
		teams: {
			main: {
				owner, organisation: 'main', share: 1, limits: {running}, keys: {first: {hash: 'a'.repeat(64)}},
			},
		},
		pools: {web: {owner, limits: {slotsPerInstance: 1000}}, bulk: {owner}},
		services: {web: {owner, pool: 'web', limits: {unavailable: 0}}, bulk: {owner, pool: 'bulk', limits: {unavailable: 0}}},
		queues: {mail: {owner, service: 'web', limits: {deadlineMs: 600_000}}, reports: {owner, service: 'bulk'}},
		zones: {'zone-a': {owner, region: 'main'}},
	});
}

type Member = {
	readonly node: Node;
	readonly heldEvents: Event[];
	registration: string;
	renewedAt: number;
	leaseUntil: number;
	paused: boolean;
	partitioned: boolean;
	/** Missing from the member lists although its member record exists. */
	unlisted: boolean;
	shutdownFinished: boolean;
	portionAtShutdown: number | undefined;
};

type Call = {readonly member: Member; readonly effect: EffectOf<'store-transact'>};

/**
 * How the store handles a call: `answer-twice` delivers the answer twice, `lose-answer` applies the call but loses
 * the answer, `lose-call` loses the call, and `apply-later` loses the answer and applies the call when the test asks for it.
 */
export type StoreBehaviour = 'answer' | 'answer-twice' | 'lose-answer' | 'lose-call' | 'unavailable' | 'apply-later';

/** Nodes with one team, a compare-and-swap store and workers, on virtual time. */
export class Cluster {
	now = 0;
	limit: number;
	storeDown = false;
	calls = 0;
	readonly members = new Map<string, Member>();
	readonly entries = new Map<string, Entry>();
	/** Attempts that run on workers, with the end of their task leases. */
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

		// The first tick registers the members; after the second each of them has seen all.
		this.advance(200);
	}

	chooseBehaviour: () => StoreBehaviour = () => 'answer';

	join(id: string): void {
		const member: Member = {
			node: createNode({id, zone: 'zone-a'}),
			heldEvents: [],
			registration: '',
			renewedAt: Number.NEGATIVE_INFINITY,
			leaseUntil: Number.NEGATIVE_INFINITY,
			paused: false,
			partitioned: false,
			unlisted: false,
			shutdownFinished: false,
			portionAtShutdown: undefined,
		};
		this.members.set(id, member);
		this.send(member, {
			type: 'instances-listed', at: this.now, instances: ['web', 'bulk'].map(pool => ({
				id: pool, address: 'http://127.0.0.1:1', zone: 'zone-a', rack: 'r-1', pool, state: 'live',
			})),
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

	request(id: string, count = 1, queue = 'mail'): void {
		for (let index = 0; index < count; index++) {
			this.#requests += 1;
			this.send(this.member(id), {
				type: 'request-arrived', at: this.now, arrival: {
					id: `r-${this.#requests}`, queue, keyHash: 'a'.repeat(64), bodyBytes: 0,
				},
			});
		}
	}

	/** Finishes the oldest tasks of a node. */
	finishTasks(id: string, count = 1): void {
		const own = [...this.running].filter(([, {member}]) => member === this.member(id)).slice(0, count);
		for (const [attemptId, {member}] of own) {
			this.running.delete(attemptId);
			this.send(member, {
				type: 'attempt-finished', at: this.now, attemptId, outcome: {type: 'succeeded'},
			});
		}
	}

	send(member: Member, event: Event): void {
		if (member.paused) {
			member.heldEvents.push(event);
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
				member.shutdownFinished = true;
				member.portionAtShutdown = this.portions[member.node.id];
				member.paused = true;
			}
		}
	}

	resume(id: string): void {
		const member = this.member(id);
		member.paused = false;
		for (const event of member.heldEvents.splice(0)) {
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
			this.#processCalls();
			for (const member of this.members.values()) {
				this.#renewLeases(member);
			}

			this.#processCalls();
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
	#renewLeases(member: Member): void {
		if (this.storeDown && member.leaseUntil > this.now) {
			// Leases do not expire while the store is down.
			member.leaseUntil = this.now + memberLeaseTtlMs;
		}

		if (member.paused) {
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
			this.send(member, {type: 'members-observed', at: this.now, storeOutageUntil: this.now + 1000});
		}

		const {leaseValidUntil, storeOutageUntil} = member.node.limits.liveness;
		for (const task of this.now < Math.max(leaseValidUntil, storeOutageUntil) ? this.running.values() : []) {
			task.leaseUntil = task.member === member ? this.now + taskLeaseTtlMs : task.leaseUntil;
		}

		this.send(member, {type: 'configuration-confirmed', at: this.now});
		this.send(member, {type: 'tick', at: this.now});
	}

	#processCalls(): void {
		for (let call = this.#pending.shift(); call !== undefined; call = this.#pending.shift()) {
			const {member, effect} = call;
			const behaviour = this.storeDown ? 'unavailable' : (member.partitioned ? 'lose-call' : this.chooseBehaviour());
			const applied = behaviour === 'answer' || behaviour === 'answer-twice' || behaviour === 'lose-answer' ? this.apply(call) : undefined;
			if (behaviour === 'apply-later') {
				this.delayed.push(call);
			}

			const failure = {ok: false, reason: behaviour === 'unavailable' ? 'unavailable' : 'outcome-unknown'} as const;
			const event: Event = {
				type: 'store-transacted', at: this.now, purpose: 'portion', id: effect.id, outcome: applied === undefined || behaviour === 'lose-answer' ? failure : {ok: true, value: applied},
			};
			this.send(member, event);
			if (behaviour === 'answer-twice') {
				this.send(member, event);
			}
		}
	}
}
