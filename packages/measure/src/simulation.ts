/**
 * Discrete-event simulation of one user's entry instances: drives their reducers on virtual time, performs their
 * effects against in-memory fakes, and can drop, delay, duplicate and reorder messages.
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
import {type EffectHandler, effectHandlers} from './effect-handlers.js';
import {
	type CallOutcome, type Delivery, type StoreCondition, type TraceEntry, type UntimedEvent, type WorkerModel,
} from './simulation-types.js';

type RunningAttempt = {
	readonly effect: EffectOf<'start-attempt'>;
	readonly node: string;
	readonly team: string;
	readonly outcome: AttemptOutcome;
	/** Remaining run time at full speed, as of `updatedAt`. */
	remainingMs: number;
	updatedAt: number;
	throttledUntil: number;
	/** Increased whenever the end is rescheduled, so that an end scheduled earlier is ignored. */
	version: number;
};

const throttledSpeedFraction = 0.25;
const defaultCheckpointMs = 50;
/** Time-out of the store's client, as in `EtcdStore`. */
const storeTimeoutMs = 2000;

/** Delay of a late response; the node's call has timed out by then. */
const lateResponseMs = 6000;

type ScheduledAction = {readonly at: number; readonly order: number; readonly run: () => void};

/** Renewals of a task lease within its TTL, as in the daemon. */
const renewalsPerLease = 3;

const defaultDelivery: Delivery = {
	delayMs: 1, jitterMs: 1, dropProbability: 0, duplicateProbability: 0,
};

export class Simulation {
	now = 0;
	readonly store: StoreModel;
	readonly trace: TraceEntry[] = [];
	readonly counters = new Map<string, number>();
	storeCalls = 0;
	/** Results of operators' edits by request identifier. */
	readonly edits = new Map<string, {readonly at: number; readonly result: EditResult}>();
	/** Present faults of the store; scheduled actions may change them at any time. */
	storeCondition: StoreCondition = {};
	delivery: Delivery;
	readonly storeDriver = new StoreDriver(this);
	readonly workerDelayMs: number;
	readonly nodes = new Map<string, Node>();
	/** Nodes whose store calls time out with an unknown outcome. */
	readonly partitioned = new Set<string>();
	readonly #random;
	readonly #worker: WorkerModel;
	readonly #leaseMode: 'granted' | 'managed';
	readonly #queue = new Heap<ScheduledAction>((a, b) => a.at - b.at || a.order - b.order);
	readonly #running = new Map<string, RunningAttempt>();
	readonly #busySlots = new Map<string, number>();
	/** Remaining run time of checkpointed attempts. */
	readonly #remainingMsByCheckpoint = new Map<string, number>();
	readonly #pausedUntil = new Map<string, number>();
	readonly #taskLeasesRenewedAt = new Map<string, number>();
	readonly #stopped = new Set<string>();
	#nextOrder = 0;

	/** With `leases: 'granted'` every node has a member lease that never expires; with `'managed'` the nodes get their leases from `simulateMembership`. */
	constructor(options: {nodes: readonly Node[]; leases?: 'granted' | 'managed'; seed: number; worker: WorkerModel; store?: StoreModel; delivery?: Partial<Delivery>}) {
		const {nodes, seed, worker, leases = 'granted', store = new StoreModel(), delivery = {}} = options;
		this.store = store;
		this.delivery = {...defaultDelivery, ...delivery};
		this.#worker = worker;
		this.#leaseMode = leases;
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
		if (this.#leaseMode === 'granted') {
			this.#grantMemberLeases();
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

	/** Schedules an action, at the present time if `time` has passed. */
	at(time: number, run: () => void): void {
		this.#queue.push({at: Math.max(time, this.now), order: this.#nextOrder, run});
		this.#nextOrder += 1;
	}

	after(delayMs: number, run: () => void): void {
		this.at(this.now + delayMs, run);
	}

	/** Delivers an event to a node: when it resumes if it is paused, never if it is stopped. */
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
			(effectHandlers[effect.type] as EffectHandler<Effect['type']>)(this, node, effect);
		}
	}

	/** Sends a message over the network, which `delivery` may drop, delay or duplicate. */
	send(nodeId: string, event: UntimedEvent): void {
		const copies = this.chance(this.delivery.duplicateProbability) ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			if (this.chance(this.delivery.dropProbability)) {
				continue;
			}

			this.after(this.drawNetworkDelayMs(), () => {
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
		this.after(this.drawNetworkDelayMs() + (this.storeCondition.delayMs ?? 0), () => {
			this.storeDriver.update();
			if (!this.reachesStore(nodeId)) {
				this.after(this.drawNetworkDelayMs(), () => {
					this.deliver(nodeId, toEvent({ok: false, reason: 'unavailable'}));
				});
				return;
			}

			const value = call();
			const lost = this.chance(this.storeCondition.lostResponseProbability ?? 0);
			const lateMs = this.chance(this.storeCondition.lateResponseProbability ?? 0) ? lateResponseMs : 0;
			const copies = this.chance(this.storeCondition.duplicateResponseProbability ?? 0) ? 2 : 1;
			for (let copy = 0; copy < copies; copy++) {
				this.after(this.drawNetworkDelayMs() + lateMs, () => {
					this.deliver(nodeId, toEvent(lost ? {ok: false, reason: 'outcome-unknown'} : {ok: true, value}));
				});
			}
		});
	}

	/** Whether the store is up and the node is not partitioned from it. */
	reachesStore(nodeId: string): boolean {
		return this.storeCondition.down !== true && !this.partitioned.has(nodeId);
	}

	isStopped(nodeId: string): boolean {
		return this.#stopped.has(nodeId);
	}

	/** Whether a node handles no events at present, because it is stopped or paused. */
	isStoppedOrPaused(nodeId: string): boolean {
		return this.#stopped.has(nodeId) || (this.#pausedUntil.get(nodeId) ?? 0) > this.now;
	}

	pause(nodeId: string, untilMs: number): void {
		this.#pausedUntil.set(nodeId, untilMs);
	}

	/** Stops a node at once; workers end its tasks when the task leases expire. */
	stop(nodeId: string): void {
		this.#stopped.add(nodeId);
	}

	startAttempt(node: Node, effect: EffectOf<'start-attempt'>): void {
		const {taskId, attemptId, workerId, resumedAttemptId} = effect;
		const team = node.tasks.byId.get(taskId)?.team ?? '';
		this.after(this.workerDelayMs, () => {
			const busy = this.#busySlots.get(workerId) ?? 0;
			if (busy >= this.#worker.slots) {
				this.#reportOutcome(node.id, attemptId, {type: 'not-started', cause: 'slots-full'});
				return;
			}

			const outcome = this.#worker.outcome?.({
				taskId, attemptId, workerId, at: this.now,
			}) ?? {type: 'succeeded'};
			if (outcome.type === 'not-started') {
				this.#reportOutcome(node.id, attemptId, outcome);
				return;
			}

			const saved = resumedAttemptId === undefined ? undefined : this.#remainingMsByCheckpoint.get(resumedAttemptId);
			if (resumedAttemptId !== undefined && saved === undefined) {
				this.#reportOutcome(node.id, attemptId, {type: 'not-started', cause: 'checkpoint-unknown'});
				return;
			}

			this.#remainingMsByCheckpoint.delete(resumedAttemptId ?? '');
			this.#busySlots.set(workerId, busy + 1);
			this.#running.set(attemptId, {
				effect, node: node.id, team, outcome, remainingMs: saved ?? this.#worker.serviceTimeMs(taskId), updatedAt: this.now, throttledUntil: 0, version: 0,
			});
			this.trace.push({
				type: 'started', at: this.now, node: node.id, taskId, attemptId, workerId, team,
			});
			this.#scheduleLeaseCheck(node.id, attemptId, this.now);
			this.#scheduleEnd(attemptId);
		});
	}

	/** Throttles an attempt, which occupies no slot until the throttle ends. */
	throttleAttempt(attemptId: string, durationMs: number): void {
		const running = this.#running.get(attemptId);
		if (running === undefined || running.throttledUntil > this.now) {
			return;
		}

		const {workerId} = running.effect;
		this.#updateRemaining(running);
		running.throttledUntil = this.now + durationMs;
		this.#busySlots.set(workerId, (this.#busySlots.get(workerId) ?? 1) - 1);
		this.after(durationMs, () => {
			if (this.#running.get(attemptId) === running) {
				this.#busySlots.set(workerId, (this.#busySlots.get(workerId) ?? 0) + 1);
			}
		});
		this.#scheduleEnd(attemptId);
	}

	checkpointAttempt(nodeId: string, attemptId: string): void {
		this.after(this.#worker.checkpointMs ?? defaultCheckpointMs, () => {
			const running = this.#running.get(attemptId);
			if (running !== undefined) {
				this.#updateRemaining(running);
				this.#remainingMsByCheckpoint.set(attemptId, running.remainingMs);
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
			this.#busySlots.set(workerId, (this.#busySlots.get(workerId) ?? 1) - 1);
		}

		this.trace.push({
			type: 'ended', at: this.now, node: nodeId, taskId, attemptId, workerId, team: running.team, outcome,
		});
		this.#reportOutcome(nodeId, attemptId, outcome);
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

	/** Draws the network delay of one message. */
	drawNetworkDelayMs(): number {
		const {delayMs, jitterMs} = this.delivery;
		return delayMs + uniformInt(this.#random, 0, jitterMs);
	}

	/** Subtracts the work done since the last update from the remaining run time. */
	#updateRemaining(running: RunningAttempt): void {
		const throttledMs = Math.max(0, Math.min(this.now, running.throttledUntil) - running.updatedAt);
		const fullMs = this.now - running.updatedAt - throttledMs;
		running.remainingMs = Math.max(0, running.remainingMs - fullMs - (throttledMs * throttledSpeedFraction));
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
		const throttledWorkMs = throttleLeftMs * throttledSpeedFraction;
		const delayMs = running.remainingMs <= throttledWorkMs ? running.remainingMs / throttledSpeedFraction : throttleLeftMs + running.remainingMs - throttledWorkMs;
		this.after(delayMs, () => {
			if (running.version === version) {
				this.endAttempt(running.node, attemptId, running.outcome);
			}
		});
	}

	/** Renews the task leases of a node at the daemon's interval, while the node may use its portions. */
	#renewTaskLeases(node: Node): void {
		const due = this.now - (this.#taskLeasesRenewedAt.get(node.id) ?? 0) >= taskLeaseTtlMs / renewalsPerLease;
		if (due && !this.isStoppedOrPaused(node.id) && mayUsePortions(node, this.now)) {
			this.#taskLeasesRenewedAt.set(node.id, this.now);
		}
	}

	/** Schedules the end of an attempt for when its task lease expires, and postpones it if the lease was renewed. */
	#scheduleLeaseCheck(nodeId: string, attemptId: string, startedAt: number): void {
		const expiresAt = Math.max(startedAt, this.#taskLeasesRenewedAt.get(nodeId) ?? 0) + taskLeaseTtlMs;
		this.at(expiresAt, () => {
			if (!this.#running.has(attemptId)) {
				return;
			}

			if ((this.#taskLeasesRenewedAt.get(nodeId) ?? 0) + taskLeaseTtlMs > this.now) {
				this.#scheduleLeaseCheck(nodeId, attemptId, startedAt);
			} else {
				this.endAttempt(nodeId, attemptId, {type: 'lost', cause: 'connection-lost'});
			}
		});
	}

	/** Replaces the membership: every node sees all others as present, and its lease never expires. */
	#grantMemberLeases(): void {
		const registration = 'granted';
		const present = [...this.nodes.keys()].map(id => ({id, registration}));
		for (const {id} of present) {
			this.deliver(id, {type: 'members-observed', lease: {registration, validUntil: Number.POSITIVE_INFINITY}, present});
		}
	}

	#reportOutcome(nodeId: string, attemptId: string, outcome: AttemptOutcome): void {
		this.after(this.workerDelayMs, () => {
			this.deliver(nodeId, {type: 'attempt-finished', attemptId, outcome});
		});
	}
}
