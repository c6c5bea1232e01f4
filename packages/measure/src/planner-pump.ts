/**
 * Event pump for planners: feeds their reducers on virtual time, performs their effects against
 * the in-memory store and pools, and checks budgets and pool membership after each write.
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

export type PumpFaults = {
	/** Probabilities, of 1, that an answer is lost after the call took effect, or comes twice. */
	loseAnswers: number;
	duplicateAnswers: number;
	/** The list shows the fleet as it was at this time. */
	listFrozen: boolean;
	storeDown: boolean;
};

export type PumpOptions = {
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
const storeMs = 5;
const actionMs = 50;

export class PlannerPump {
	now = 0;
	readonly store = new StoreModel();
	readonly faults: PumpFaults = {
		loseAnswers: 0, duplicateAnswers: 0, listFrozen: false, storeDown: false,
	};

	readonly planners = new Map<string, {planner: Planner; pausedUntil: number}>();
	readonly reports: Array<{at: number; report: string; subject: string}> = [];
	/** Planned steps that began although failures that the list had shown, and other steps, had used up the budget. */
	budgetViolations = 0;
	/** Planned steps that began while a failure younger than the list's lag had used up the budget. */
	unseenOverruns = 0;
	poolViolations = 0;
	storeWrites = 0;
	storeCalls = 0;
	/** Instance-milliseconds out of service by plan. */
	outMs = 0;
	withdrawn: ReadonlySet<string> = new Set();
	readonly downSince = new Map<string, number>();
	/** Runs after each write of a record, before its answer. */
	onRecord: ((id: string, record: InstanceRecord | undefined) => void) | undefined;
	readonly records = new Map<string, InstanceRecord>();
	readonly #outSince = new Map<string, number>();
	readonly #counted = new Map<string, Set<string>>();
	readonly #lent = new Map<string, Set<string>>();
	readonly #queue = new Heap<{at: number; order: number; run: () => void}>((a, b) => a.at - b.at || a.order - b.order);
	readonly #random;
	readonly #options: PumpOptions;
	#order = 0;
	#listed: ListedInstance[] = [];
	#listedAt = 0;

	constructor(options: PumpOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
		this.store.watch(`${prefix}fleet/`, this.store.revision + 1, changes => {
			for (const {key, value} of changes) {
				if (key.startsWith(instancePrefix)) {
					this.#observe(key.slice(instancePrefix.length), value === undefined ? undefined : JSON.parse(value) as InstanceRecord);
				}
			}

			for (const id of this.planners.keys()) {
				this.schedule(this.now + storeMs + 1, () => {
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

	/** The process ends without a word; its lease lapses later. */
	crashPlanner(id: string): void {
		this.planners.delete(id);
	}

	setWithdrawn(zones: ReadonlySet<string>): void {
		this.withdrawn = zones;
		for (const id of this.planners.keys()) {
			this.dispatch(id, {type: 'rules-loaded', pools: this.#options.rules, withdrawn: zones});
		}
	}

	/** Runs until a time, or until `until` holds. */
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
		const host = this.planners.get(id);
		if (host === undefined) {
			return;
		}

		if (host.pausedUntil > this.now) {
			// A paused process handles what arrived once it runs again.
			this.schedule(host.pausedUntil, () => {
				this.dispatch(id, event);
			});
			return;
		}

		for (const effect of reducePlanner(host.planner, {...event, at: this.now})) {
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

		// The list shows the fleet as it was one interval ago.
		const shown = this.#listed;
		this.#listed = pools.list(this.now);
		for (const id of this.planners.keys()) {
			this.dispatch(id, {type: 'instances-listed', instances: shown.length === 0 ? this.#listed : shown});
		}

		if (this.planners.size === 0 && this.now === 0) {
			this.schedule(listMs, () => {
				this.#refreshList();
			});
		}
	}

	#reply(id: string, delayMs: number, event: UntimedEvent, lost: UntimedEvent): void {
		const answer = this.random() < this.faults.loseAnswers ? lost : event;
		const copies = this.random() < this.faults.duplicateAnswers ? 2 : 1;
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
				this.#reply(id, storeMs, {type: 'lease-granted', outcome}, {type: 'lease-granted', outcome: unknown});
				break;
			}

			case 'renew-lease': {
				const {leaseId, sentAt} = effect;
				const ttl = storeDown ? 0 : this.store.renewLease(leaseId, this.now);
				const outcome = storeDown ? unavailable : (ttl > 0 ? {ok: true, value: ttl} as const : {ok: false, reason: 'lease-lost'} as const);
				this.#reply(id, storeMs, {
					type: 'lease-renewed', leaseId, sentAt, outcome,
				}, {
					type: 'lease-renewed', leaseId, sentAt, outcome: unknown,
				});
				break;
			}

			case 'store-list': {
				const outcome = storeDown ? unavailable : {ok: true, value: this.store.list(effect.prefix)} as const;
				this.#reply(id, storeMs, {type: 'store-listed', id: effect.id, outcome}, {type: 'store-listed', id: effect.id, outcome: unknown});
				break;
			}

			case 'store-transact': {
				this.storeCalls += 1;
				const outcome = storeDown ? unavailable : {ok: true, value: this.store.transact(effect.transaction)} as const;
				this.storeWrites += outcome.ok && outcome.value.succeeded && effect.transaction.success.some(operation => operation.type !== 'get') ? 1 : 0;
				this.#reply(id, storeMs, {type: 'store-transacted', id: effect.id, outcome}, {type: 'store-transacted', id: effect.id, outcome: unknown});
				break;
			}

			case 'perform-action':
			case 'read-action': {
				const {instance, generation} = effect;
				const {pools} = this.#options;
				const state: ActionState = effect.type === 'read-action'
					? pools.read(instance, {generation, now: this.now})
					: pools.perform(instance, effect.action, {generation, now: this.now, ...(effect.target !== undefined && {target: effect.target})});
				this.#reply(id, actionMs, {
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

	/** Follows the written records: what is out of service by plan, and whether the budgets hold. */
	#observe(id: string, record: InstanceRecord | undefined): void {
		const previous = this.records.get(id);
		if (record === undefined) {
			this.records.delete(id);
		} else {
			this.records.set(id, record);
		}

		this.#index(id, previous, record);
		const wasOut = this.#outSince.get(id);
		const isOut = record !== undefined && record.state !== 'in-service' && record.state !== 'suspect';
		if (isOut && wasOut === undefined) {
			this.#outSince.set(id, this.now);
		} else if (!isOut && wasOut !== undefined) {
			this.outMs += this.now - wasOut;
			this.#outSince.delete(id);
		}

		if (record?.state === 'draining' && previous?.state !== 'draining') {
			this.#checkBudget(record.step === 'give-back' ? record.pool : record.home ?? record.pool);
		}

		const instance = this.#options.pools.instances.get(id);
		if (record?.state === 'in-service' && instance !== undefined && instance.pool !== record.pool) {
			this.poolViolations += 1;
		}

		this.onRecord?.(id, record);
	}

	#index(id: string, previous: InstanceRecord | undefined, record: InstanceRecord | undefined): void {
		for (const [pool, set] of [[previous?.home ?? previous?.pool, this.#counted], [previous?.home === undefined ? undefined : previous.pool, this.#lent]] as const) {
			set.get(pool ?? '')?.delete(id);
		}

		const add = (index: Map<string, Set<string>>, pool: string): void => {
			const set = index.get(pool) ?? new Set();
			index.set(pool, set.add(id));
		};

		if (record !== undefined && record.step !== 'arrive' && (record.state !== 'in-service' || record.home !== undefined)) {
			add(this.#counted, record.home ?? record.pool);
		}

		if (record?.home !== undefined && record.state === 'in-service') {
			add(this.#lent, record.pool);
		}
	}

	#checkBudget(pool: string): void {
		const {listMs = 10_000, tickMs = 5000} = this.#options;
		const limit = this.#options.rules.get(pool)?.maximumUnavailable ?? Number.POSITIVE_INFINITY;
		const out = new Set(this.#counted.get(pool));
		let unseen = 0;
		for (const [id, since] of this.downSince) {
			const record = this.records.get(id);
			if (record === undefined || (record.home ?? record.pool) !== pool || out.has(id)) {
				continue;
			}

			if (this.now - since > (2 * listMs) + tickMs) {
				out.add(id);
			} else {
				unseen += 1;
			}
		}

		const lent = [...this.#lent.get(pool) ?? []].filter(id => !this.downSince.has(id)).length;
		if (out.size > limit + lent) {
			this.budgetViolations += 1;
		} else if (out.size + unseen > limit + lent) {
			this.unseenOverruns += 1;
		}
	}
}
