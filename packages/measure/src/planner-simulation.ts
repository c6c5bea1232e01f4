/**
 * Discrete-event simulation of planners: drives their reducers on virtual time, performs their effects against
 * the in-memory store and pools, and checks budgets and pool membership after each write of a record.
 */
import {Heap} from 'heap-js';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createPlanner} from '@rosemaryquay/core/maintenance/create-planner';
import {type InstanceRecord} from '@rosemaryquay/core/maintenance/records';
import {
	type ActionState, type Planner, type PlannerEffect, type PlannerEvent, type PlannerSettings, type PoolRules,
} from '@rosemaryquay/core/maintenance/planner';
import {reducePlanner} from '@rosemaryquay/core/maintenance/reduce-planner';
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {type PoolsModel} from '@rosemaryquay/testing/pools-model';
import {StoreModel} from '@rosemaryquay/testing/store-model';

type UntimedEvent = PlannerEvent extends infer Member ? (Member extends PlannerEvent ? Omit<Member, 'at'> : never) : never;

export type PlannerFaults = {
	/** Probability that a response is lost after the call took effect. */
	lostResponseProbability: number;
	/** Probability that a response is delivered twice. */
	duplicateResponseProbability: number;
	/** While true, the instance list is not refreshed. */
	listFrozen: boolean;
	storeDown: boolean;
};

export type PlannerSimulationOptions = {
	readonly seed: number;
	readonly utcMs: number;
	readonly rules: ReadonlyMap<string, PoolRules>;
	readonly pools: PoolsModel;
	readonly settings?: Partial<PlannerSettings>;
	readonly tickMs?: number;
	readonly listMs?: number;
};

const prefix = 'rosemaryquay/';
const instancePrefix = `${prefix}fleet/instances/`;
const storeDelayMs = 5;
const actionDelayMs = 50;

export class PlannerSimulation {
	now = 0;
	readonly store = new StoreModel();
	readonly faults: PlannerFaults = {
		lostResponseProbability: 0, duplicateResponseProbability: 0, listFrozen: false, storeDown: false,
	};

	readonly planners = new Map<string, {planner: Planner; pausedUntil: number}>();
	readonly reports: Array<{at: number; report: string; subject: string}> = [];
	/** Planned steps that began although other steps and the failures shown by the instance list had used up the budget. */
	budgetViolations = 0;
	/** Planned steps that exceeded the budget only by failures that the instance list did not show yet. */
	unseenOverruns = 0;
	/** Writes of an in-service record whose pool differs from the instance's actual pool. */
	poolViolations = 0;
	storeWrites = 0;
	storeCalls = 0;
	/** Total planned downtime, in instance-milliseconds. */
	plannedDowntimeMs = 0;
	withdrawn: ReadonlySet<string> = new Set();
	/** Start times of the present unplanned failures by instance; set by the caller. */
	readonly downSince = new Map<string, number>();
	/** Called after each write of a record, before its response is delivered. */
	onRecordWritten: ((id: string, record: InstanceRecord | undefined) => void) | undefined;
	readonly records = new Map<string, InstanceRecord>();
	readonly #plannedDownSince = new Map<string, number>();
	readonly #unavailableByPool = new Map<string, Set<string>>();
	readonly #borrowedByPool = new Map<string, Set<string>>();
	readonly #queue = new Heap<{at: number; order: number; run: () => void}>((a, b) => a.at - b.at || a.order - b.order);
	readonly #random;
	readonly #options: PlannerSimulationOptions;
	#order = 0;
	#lastListing: ListedInstance[] = [];
	#listedAt = 0;

	constructor(options: PlannerSimulationOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
		this.store.watch(`${prefix}fleet/`, this.store.revision + 1, changes => {
			for (const {key, value} of changes) {
				if (key.startsWith(instancePrefix)) {
					this.#trackRecord(key.slice(instancePrefix.length), value === undefined ? undefined : JSON.parse(value) as InstanceRecord);
				}
			}

			for (const id of this.planners.keys()) {
				this.schedule(this.now + storeDelayMs + 1, () => {
					this.dispatch(id, {type: 'records-changed', changes});
				});
			}
		});
		this.#refreshList();
	}

	get utcMs(): number {
		return this.now + this.#options.utcMs;
	}

	schedule(at: number, run: () => void): void {
		this.#order += 1;
		this.#queue.push({at, order: this.#order, run});
	}

	random(): number {
		return uniformInt(this.#random, 0, 999_999) / 1_000_000;
	}

	addPlanner(id: string): void {
		const {settings} = this.#options;
		this.planners.set(id, {planner: createPlanner({id, prefix, ...(settings !== undefined && {settings})}), pausedUntil: 0});
		this.dispatch(id, {type: 'rules-loaded', pools: this.#options.rules, withdrawn: this.withdrawn});
		this.#tick(id);
	}

	/** Ends the process without a shutdown; its lease expires later. */
	crashPlanner(id: string): void {
		this.planners.delete(id);
	}

	setWithdrawn(zones: ReadonlySet<string>): void {
		this.withdrawn = zones;
		for (const id of this.planners.keys()) {
			this.dispatch(id, {type: 'rules-loaded', pools: this.#options.rules, withdrawn: zones});
		}
	}

	/** Runs until a time or until `until` returns true, and returns the last value of `until`. */
	run(untilMs: number, until: () => boolean = () => false): boolean {
		for (;;) {
			const next = this.#queue.peek();
			if (next === undefined || next.at > untilMs) {
				this.now = untilMs;
				return until();
			}

			this.#queue.pop();
			this.now = Math.max(this.now, next.at);
			next.run();
			if (until()) {
				return true;
			}
		}
	}

	dispatch(id: string, event: UntimedEvent): void {
		const plannerProcess = this.planners.get(id);
		if (plannerProcess === undefined) {
			return;
		}

		if (plannerProcess.pausedUntil > this.now) {
			// Events for a paused process are delivered when it resumes.
			this.schedule(plannerProcess.pausedUntil, () => {
				this.dispatch(id, event);
			});
			return;
		}

		for (const effect of reducePlanner(plannerProcess.planner, {...event, at: this.now})) {
			this.#perform(id, effect);
		}
	}

	#tick(id: string): void {
		const {tickMs = 5000, listMs = 10_000} = this.#options;
		if (!this.planners.has(id)) {
			return;
		}

		if (this.now - this.#listedAt >= listMs) {
			this.#refreshList();
		}

		this.dispatch(id, {type: 'tick', utcMs: this.utcMs});
		this.schedule(this.now + tickMs, () => {
			this.#tick(id);
		});
	}

	#refreshList(): void {
		const {pools, listMs = 10_000} = this.#options;
		this.#listedAt = this.now;
		if (this.faults.listFrozen) {
			return;
		}

		// Planners get the listing of one interval ago, as the real list lags behind the fleet.
		const previousListing = this.#lastListing;
		this.#lastListing = pools.list(this.now);
		for (const id of this.planners.keys()) {
			this.dispatch(id, {type: 'instances-listed', instances: previousListing.length === 0 ? this.#lastListing : previousListing});
		}

		if (this.planners.size === 0 && this.now === 0) {
			this.schedule(listMs, () => {
				this.#refreshList();
			});
		}
	}

	#reply(id: string, delayMs: number, event: UntimedEvent, lost: UntimedEvent): void {
		const answer = this.random() < this.faults.lostResponseProbability ? lost : event;
		const copies = this.random() < this.faults.duplicateResponseProbability ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			this.schedule(this.now + (delayMs * (copy + 1)), () => {
				this.dispatch(id, answer);
			});
		}
	}

	#perform(id: string, effect: PlannerEffect): void {
		const unavailable = {ok: false, reason: 'unavailable'} as const;
		const unknown = {ok: false, reason: 'outcome-unknown'} as const;
		const {storeDown} = this.faults;
		this.store.expireLeases(this.now);
		switch (effect.type) {
			case 'grant-lease': {
				const outcome = storeDown ? unavailable : {ok: true, value: this.store.grantLease(effect.ttlMs, this.now)} as const;
				this.#reply(id, storeDelayMs, {type: 'lease-granted', outcome}, {type: 'lease-granted', outcome: unknown});
				break;
			}

			case 'renew-lease': {
				const {leaseId, sentAt} = effect;
				const ttl = storeDown ? 0 : this.store.renewLease(leaseId, this.now);
				const outcome = storeDown ? unavailable : (ttl > 0 ? {ok: true, value: ttl} as const : {ok: false, reason: 'lease-lost'} as const);
				this.#reply(id, storeDelayMs, {
					type: 'lease-renewed', leaseId, sentAt, outcome,
				}, {
					type: 'lease-renewed', leaseId, sentAt, outcome: unknown,
				});
				break;
			}

			case 'store-list': {
				const outcome = storeDown ? unavailable : {ok: true, value: this.store.list(effect.prefix)} as const;
				this.#reply(id, storeDelayMs, {type: 'store-listed', id: effect.id, outcome}, {type: 'store-listed', id: effect.id, outcome: unknown});
				break;
			}

			case 'store-transact': {
				this.storeCalls += 1;
				const outcome = storeDown ? unavailable : {ok: true, value: this.store.transact(effect.transaction)} as const;
				this.storeWrites += outcome.ok && outcome.value.succeeded && effect.transaction.success.some(operation => operation.type !== 'get') ? 1 : 0;
				this.#reply(id, storeDelayMs, {type: 'store-transacted', id: effect.id, outcome}, {type: 'store-transacted', id: effect.id, outcome: unknown});
				break;
			}

			case 'perform-action':
			case 'read-action': {
				const {instance, generation} = effect;
				const {pools} = this.#options;
				const state: ActionState = effect.type === 'read-action'
					? pools.read(instance, {generation, now: this.now})
					: pools.perform(instance, effect.action, {generation, now: this.now, ...(effect.target !== undefined && {target: effect.target})});
				this.#reply(id, actionDelayMs, {
					type: 'action-answered', instance, generation, state,
				}, {
					type: 'action-answered', instance, generation, state: 'unknown',
				});
				break;
			}

			case 'report': {
				this.reports.push({at: this.now, report: effect.report, subject: effect.subject});
				break;
			}
		}
	}

	/** Updates the planned downtime and checks budgets and pools after a record was written or deleted. */
	#trackRecord(id: string, record: InstanceRecord | undefined): void {
		const previous = this.records.get(id);
		if (record === undefined) {
			this.records.delete(id);
		} else {
			this.records.set(id, record);
		}

		this.#indexRecord(id, previous, record);
		const plannedDownSince = this.#plannedDownSince.get(id);
		const isPlannedDown = record !== undefined && record.state !== 'in-service' && record.state !== 'suspect';
		if (isPlannedDown && plannedDownSince === undefined) {
			this.#plannedDownSince.set(id, this.now);
		} else if (!isPlannedDown && plannedDownSince !== undefined) {
			this.plannedDowntimeMs += this.now - plannedDownSince;
			this.#plannedDownSince.delete(id);
		}

		if (record?.state === 'draining' && previous?.state !== 'draining') {
			this.#checkBudget(record.step === 'give-back' ? record.pool : record.home ?? record.pool);
		}

		const instance = this.#options.pools.instances.get(id);
		if (record?.state === 'in-service' && instance !== undefined && instance.pool !== record.pool) {
			this.poolViolations += 1;
		}

		this.onRecordWritten?.(id, record);
	}

	#indexRecord(id: string, previous: InstanceRecord | undefined, record: InstanceRecord | undefined): void {
		for (const [pool, set] of [[previous?.home ?? previous?.pool, this.#unavailableByPool], [previous?.home === undefined ? undefined : previous.pool, this.#borrowedByPool]] as const) {
			set.get(pool ?? '')?.delete(id);
		}

		const add = (index: Map<string, Set<string>>, pool: string): void => {
			const set = index.get(pool) ?? new Set();
			index.set(pool, set.add(id));
		};

		if (record !== undefined && record.step !== 'arrive' && (record.state !== 'in-service' || record.home !== undefined)) {
			add(this.#unavailableByPool, record.home ?? record.pool);
		}

		if (record?.home !== undefined && record.state === 'in-service') {
			add(this.#borrowedByPool, record.pool);
		}
	}

	#checkBudget(pool: string): void {
		const {listMs = 10_000, tickMs = 5000} = this.#options;
		const limit = this.#options.rules.get(pool)?.maximumUnavailable ?? Number.POSITIVE_INFINITY;
		const unavailable = new Set(this.#unavailableByPool.get(pool));
		let failuresNotListed = 0;
		for (const [id, since] of this.downSince) {
			const record = this.records.get(id);
			if (record === undefined || (record.home ?? record.pool) !== pool || unavailable.has(id)) {
				continue;
			}

			if (this.now - since > (2 * listMs) + tickMs) {
				unavailable.add(id);
			} else {
				failuresNotListed += 1;
			}
		}

		const borrowedCount = [...this.#borrowedByPool.get(pool) ?? []].filter(id => !this.downSince.has(id)).length;
		if (unavailable.size > limit + borrowedCount) {
			this.budgetViolations += 1;
		} else if (unavailable.size + failuresNotListed > limit + borrowedCount) {
			this.unseenOverruns += 1;
		}
	}
}
