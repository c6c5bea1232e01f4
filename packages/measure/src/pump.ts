/**
 * Event pump: feeds a handful of reducers of one user's instances on virtual time, performs their
 * effects against in-memory fakes, and can drop, delay, duplicate and reorder what it delivers.
 */
import {Heap} from 'heap-js';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type EditResult} from '@rosemaryquay/core/catalogue/catalogue-state';
import {taskLeaseTtlMs, tickIntervalMs} from '@rosemaryquay/core/constants';
import {mayUsePortions} from '@rosemaryquay/core/limits/may-use-portions';
import {type Effect, type EffectOf} from '@rosemaryquay/core/node/effect';
import {type AttemptOutcome, type Event} from '@rosemaryquay/core/node/event';
import {type Node} from '@rosemaryquay/core/node/node';
import {reduce} from '@rosemaryquay/core/node/reduce';
import {type Refusal} from '@rosemaryquay/core/refusal';
import {StoreModel} from '@rosemaryquay/testing/store-model';
import {StoreDriver} from './store-driver.js';
import {type Performer, performers} from './pump-performers.js';
import {
	type CallOutcome, type Delivery, type StoreCondition, type TraceEntry, type UntimedEvent, type WorkerModel,
} from './pump-types.js';

type Running = {
	readonly effect: EffectOf<'start-attempt'>;
	readonly node: string;
	readonly team: string;
	readonly outcome: AttemptOutcome;
	/** Run time left at full speed, as of `updatedAt`. */
	remainingMs: number;
	updatedAt: number;
	throttledUntil: number;
	/** Increases when the end is moved; an earlier end is then ignored. */
	version: number;
};

const throttledSpeed = 0.25;
const defaultCheckpointMs = 50;
/** Time after which the store's client gives up a call, as in `EtcdStore`. */
const storeTimeoutMs = 2000;

/** Delay of a late answer; the node has given up the call by then. */
const lateAnswerMs = 6000;

type Item = {readonly at: number; readonly order: number; readonly run: () => void};

/** Renewals of a task lease within its time to live, as in the daemon. */
const renewalsPerLease = 3;

const defaultDelivery: Delivery = {
	delayMs: 1, jitterMs: 1, drop: 0, duplicate: 0,
};

export class Pump {
	now = 0;
	readonly store: StoreModel;
	readonly trace: TraceEntry[] = [];
	readonly counters = new Map<string, number>();
	storeCalls = 0;
	/** Answers to operators' edits by request identifier. */
	readonly edits = new Map<string, {readonly at: number; readonly result: EditResult}>();
	/** Changed at any time by scheduled actions. */
	storeCondition: StoreCondition = {};
	delivery: Delivery;
	readonly storeDriver = new StoreDriver(this);
	readonly workerDelayMs: number;
	readonly nodes = new Map<string, Node>();
	/** Nodes that cannot reach the store. */
	readonly partitioned = new Set<string>();
	readonly #random;
	readonly #worker: WorkerModel;
	readonly #leases: 'granted' | 'managed';
	readonly #queue = new Heap<Item>((a, b) => a.at - b.at || a.order - b.order);
	readonly #running = new Map<string, Running>();
	readonly #busy = new Map<string, number>();
	/** Run time left of checkpointed attempts. */
	readonly #checkpoints = new Map<string, number>();
	readonly #pausedUntil = new Map<string, number>();
	readonly #leasesRenewedAt = new Map<string, number>();
	readonly #stopped = new Set<string>();
	#order = 0;

	/** With `leases: 'granted'` every node holds a member lease for ever; otherwise the caller feeds the leases. */
	constructor(options: {nodes: readonly Node[]; leases?: 'granted' | 'managed'; seed: number; worker: WorkerModel; store?: StoreModel; delivery?: Partial<Delivery>}) {
		const {nodes, seed, worker, leases = 'granted', store = new StoreModel(), delivery = {}} = options;
		this.store = store;
		this.delivery = {...defaultDelivery, ...delivery};
		this.#worker = worker;
		this.#leases = leases;
		this.workerDelayMs = defaultDelivery.delayMs;
		this.#random = xoroshiro128plus(seed);
		for (const node of nodes) {
			this.addNode(node);
		}
	}

	/** Adds a node, or replaces a stopped one. */
	addNode(node: Node): void {
		this.nodes.set(node.id, node);
		this.#stopped.delete(node.id);
		if (this.#leases === 'granted') {
			this.#grantLeases();
		}

		const tick = (): void => {
			if (this.nodes.get(node.id) !== node || this.#stopped.has(node.id)) {
				return;
			}

			this.deliver(node.id, {type: 'tick'});
			this.#renewTaskLeases(node);
			this.after(tickIntervalMs, tick);
		};

		this.after(uniformInt(this.#random, 1, tickIntervalMs), tick);
	}

	/** Runs an action at a time. */
	at(time: number, run: () => void): void {
		this.#queue.push({at: Math.max(time, this.now), order: this.#order, run});
		this.#order += 1;
	}

	after(delayMs: number, run: () => void): void {
		this.at(this.now + delayMs, run);
	}

	/** Delivers an event to a node, later if the node is paused; never to a stopped one. */
	deliver(nodeId: string, event: UntimedEvent): void {
		const node = this.nodes.get(nodeId);
		if (node === undefined || this.#stopped.has(nodeId)) {
			return;
		}

		const resumesAt = this.#pausedUntil.get(nodeId) ?? 0;
		if (resumesAt > this.now) {
			this.at(resumesAt, () => {
				this.deliver(nodeId, event);
			});
			return;
		}

		for (const effect of reduce(node, {...event, at: this.now})) {
			(performers[effect.type] as Performer<Effect['type']>)(this, node, effect);
		}
	}

	/** Delivers a message over the network, subject to `delivery`. */
	send(nodeId: string, event: UntimedEvent): void {
		const copies = this.chance(this.delivery.duplicate) ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			if (this.chance(this.delivery.drop)) {
				continue;
			}

			this.after(this.networkDelay(), () => {
				this.deliver(nodeId, event);
			});
		}
	}

	/** Runs a store call and delivers its outcome. */
	callStore<Value>(nodeId: string, call: () => Value, toEvent: (outcome: CallOutcome<Value>) => UntimedEvent): void {
		this.storeCalls += 1;
		if (this.partitioned.has(nodeId)) {
			this.after(storeTimeoutMs, () => {
				this.deliver(nodeId, toEvent({ok: false, reason: 'outcome-unknown'}));
			});
			return;
		}

		this.storeDriver.update();
		this.after(this.networkDelay() + (this.storeCondition.delayMs ?? 0), () => {
			this.storeDriver.update();
			if (!this.reachesStore(nodeId)) {
				this.after(this.networkDelay(), () => {
					this.deliver(nodeId, toEvent({ok: false, reason: 'unavailable'}));
				});
				return;
			}

			const value = call();
			const lost = this.chance(this.storeCondition.loseAnswers ?? 0);
			const lateMs = this.chance(this.storeCondition.lateAnswers ?? 0) ? lateAnswerMs : 0;
			const copies = this.chance(this.storeCondition.duplicateAnswers ?? 0) ? 2 : 1;
			for (let copy = 0; copy < copies; copy++) {
				this.after(this.networkDelay() + lateMs, () => {
					this.deliver(nodeId, toEvent(lost ? {ok: false, reason: 'outcome-unknown'} : {ok: true, value}));
				});
			}
		});
	}

	/** Whether calls of a node reach the store. */
	reachesStore(nodeId: string): boolean {
		return this.storeCondition.down !== true && !this.partitioned.has(nodeId);
	}

	isStopped(nodeId: string): boolean {
		return this.#stopped.has(nodeId);
	}

	/** Whether a node's process takes no events at the moment. */
	isHalted(nodeId: string): boolean {
		return this.#stopped.has(nodeId) || (this.#pausedUntil.get(nodeId) ?? 0) > this.now;
	}

	pause(nodeId: string, untilMs: number): void {
		this.#pausedUntil.set(nodeId, untilMs);
	}

	/** Ends a node at once; workers stop its tasks when their leases lapse. */
	stop(nodeId: string): void {
		this.#stopped.add(nodeId);
	}

	startAttempt(node: Node, effect: EffectOf<'start-attempt'>): void {
		const {taskId, attemptId, workerId, resumedAttemptId} = effect;
		const team = node.tasks.byId.get(taskId)?.team ?? '';
		this.after(this.workerDelayMs, () => {
			const busy = this.#busy.get(workerId) ?? 0;
			if (busy >= this.#worker.slots) {
				this.#report(node.id, attemptId, {type: 'not-started', cause: 'slots-full'});
				return;
			}

			const outcome = this.#worker.outcome?.({
				taskId, attemptId, workerId, at: this.now,
			}) ?? {type: 'succeeded'};
			if (outcome.type === 'not-started') {
				this.#report(node.id, attemptId, outcome);
				return;
			}

			const saved = resumedAttemptId === undefined ? undefined : this.#checkpoints.get(resumedAttemptId);
			if (resumedAttemptId !== undefined && saved === undefined) {
				this.#report(node.id, attemptId, {type: 'not-started', cause: 'checkpoint-unknown'});
				return;
			}

			this.#checkpoints.delete(resumedAttemptId ?? '');
			this.#busy.set(workerId, busy + 1);
			this.#running.set(attemptId, {
				effect, node: node.id, team, outcome, remainingMs: saved ?? this.#worker.serviceTimeMs(taskId), updatedAt: this.now, throttledUntil: 0, version: 0,
			});
			this.trace.push({
				type: 'started', at: this.now, node: node.id, taskId, attemptId, workerId, team,
			});
			this.#watchTaskLease(node.id, attemptId, this.now);
			this.#scheduleEnd(attemptId);
		});
	}

	/** Slows an attempt down; it occupies no slot until the throttle ends. */
	throttleAttempt(attemptId: string, durationMs: number): void {
		const running = this.#running.get(attemptId);
		if (running === undefined || running.throttledUntil > this.now) {
			return;
		}

		const {workerId} = running.effect;
		this.#advance(running);
		running.throttledUntil = this.now + durationMs;
		this.#busy.set(workerId, (this.#busy.get(workerId) ?? 1) - 1);
		this.after(durationMs, () => {
			if (this.#running.get(attemptId) === running) {
				this.#busy.set(workerId, (this.#busy.get(workerId) ?? 0) + 1);
			}
		});
		this.#scheduleEnd(attemptId);
	}

	checkpointAttempt(nodeId: string, attemptId: string): void {
		this.after(this.#worker.checkpointMs ?? defaultCheckpointMs, () => {
			const running = this.#running.get(attemptId);
			if (running !== undefined) {
				this.#advance(running);
				this.#checkpoints.set(attemptId, running.remainingMs);
				this.endAttempt(nodeId, attemptId, {type: 'checkpointed'});
			}
		});
	}

	endAttempt(nodeId: string, attemptId: string, outcome: AttemptOutcome): void {
		const running = this.#running.get(attemptId);
		if (running === undefined) {
			return;
		}

		const {taskId, workerId} = running.effect;
		this.#running.delete(attemptId);
		if (running.throttledUntil <= this.now) {
			this.#busy.set(workerId, (this.#busy.get(workerId) ?? 1) - 1);
		}

		this.trace.push({
			type: 'ended', at: this.now, node: nodeId, taskId, attemptId, workerId, team: running.team, outcome,
		});
		this.#report(nodeId, attemptId, outcome);
	}

	run(untilMs: number): void {
		for (;;) {
			const next = this.#queue.peek();
			if (next === undefined || next.at > untilMs) {
				this.now = untilMs;
				return;
			}

			this.#queue.pop();
			this.now = next.at;
			next.run();
		}
	}

	chance(probability: number): boolean {
		return probability > 0 && uniformInt(this.#random, 0, 999_999) < probability * 1_000_000;
	}

	/** Delay of one message over the network. */
	networkDelay(): number {
		const {delayMs, jitterMs} = this.delivery;
		return delayMs + uniformInt(this.#random, 0, jitterMs);
	}

	/** Charges the time since the last update to the attempt's remaining run time. */
	#advance(running: Running): void {
		const throttledMs = Math.max(0, Math.min(this.now, running.throttledUntil) - running.updatedAt);
		const fullMs = this.now - running.updatedAt - throttledMs;
		running.remainingMs = Math.max(0, running.remainingMs - fullMs - (throttledMs * throttledSpeed));
		running.updatedAt = this.now;
	}

	#scheduleEnd(attemptId: string): void {
		const running = this.#running.get(attemptId);
		if (running === undefined) {
			return;
		}

		running.version += 1;
		const {version} = running;
		const throttleLeftMs = Math.max(0, running.throttledUntil - this.now);
		const throttledWorkMs = throttleLeftMs * throttledSpeed;
		const delayMs = running.remainingMs <= throttledWorkMs ? running.remainingMs / throttledSpeed : throttleLeftMs + running.remainingMs - throttledWorkMs;
		this.after(delayMs, () => {
			if (running.version === version) {
				this.endAttempt(running.node, attemptId, running.outcome);
			}
		});
	}

	/** Renews the task leases of a node as often as the daemon does, while it may use its portions. */
	#renewTaskLeases(node: Node): void {
		const due = this.now - (this.#leasesRenewedAt.get(node.id) ?? 0) >= taskLeaseTtlMs / renewalsPerLease;
		if (due && !this.isHalted(node.id) && mayUsePortions(node, this.now)) {
			this.#leasesRenewedAt.set(node.id, this.now);
		}
	}

	/** Ends a task when its lease lapses at the worker. */
	#watchTaskLease(nodeId: string, attemptId: string, startedAt: number): void {
		const lapsesAt = Math.max(startedAt, this.#leasesRenewedAt.get(nodeId) ?? 0) + taskLeaseTtlMs;
		this.at(lapsesAt, () => {
			if (!this.#running.has(attemptId)) {
				return;
			}

			if ((this.#leasesRenewedAt.get(nodeId) ?? 0) + taskLeaseTtlMs > this.now) {
				this.#watchTaskLease(nodeId, attemptId, startedAt);
			} else {
				this.endAttempt(nodeId, attemptId, {type: 'lost', cause: 'connection-lost'});
			}
		});
	}

	/** Stands in for the membership: every node sees every other, and no lease ever ends. */
	#grantLeases(): void {
		const registration = 'granted';
		const present = [...this.nodes.keys()].map(id => ({id, registration}));
		for (const {id} of present) {
			this.deliver(id, {type: 'members-observed', lease: {registration, validUntil: Number.POSITIVE_INFINITY}, present});
		}
	}

	#report(nodeId: string, attemptId: string, outcome: AttemptOutcome): void {
		this.after(this.workerDelayMs, () => {
			this.deliver(nodeId, {type: 'attempt-finished', attemptId, outcome});
		});
	}
}
