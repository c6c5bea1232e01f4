/**
 * Test fixture for the request path: a node with a small catalogue, to which tests apply events, and which calls the store model.
 */
import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {parseCatalogue} from '@rosemaryquay/core/catalogue/parse-catalogue';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {type Effect, type EffectOf} from '@rosemaryquay/core/node/effect';
import {
	type Arrival, type AttemptOutcome, type Event, type ListedInstance,
} from '@rosemaryquay/core/node/event';
import {type Node} from '@rosemaryquay/core/node/node';
import {reduce} from '@rosemaryquay/core/node/reduce';
import {type StoreOutcome, type TransactionResult} from '@rosemaryquay/core/store/transaction';
import {StoreModel} from './store-model.js';

const owner = 'operations';

const succeeded: AttemptOutcome = {type: 'succeeded'};

/** Key hashes of the teams of the catalogue. */
export const keyHashes = {first: 'a'.repeat(64), second: 'b'.repeat(64)};

/** Injected fault of a store call. */
export type StoreFault = 'none' | 'down' | 'answer-lost' | 'call-lost' | 'call-late';

type StoreCallHandler = (store: StoreModel, effect: EffectOf<'store-transact'>) => StoreOutcome<TransactionResult>;

const storeCallHandlers: Readonly<Record<StoreFault, StoreCallHandler>> = {
	none: (store, effect) => ({ok: true, value: store.transact(effect.transaction)}),
	down: () => ({ok: false, reason: 'unavailable'}),
	'answer-lost'(store, effect) {
		store.transact(effect.transaction);
		return {ok: false, reason: 'outcome-unknown'};
	},
	'call-lost': () => ({ok: false, reason: 'outcome-unknown'}),
	'call-late': () => ({ok: false, reason: 'outcome-unknown'}),
};

export type FixtureOptions = {
	readonly id?: string;
	readonly store?: StoreModel;
	readonly workers?: number;
	/** Upper limit of running requests of each team. */
	readonly runningLimit?: number;
	/** Identifiers of the other members. */
	readonly peers?: readonly string[];
};

export class RequestFixture {
	/** Describes the first refusal by its reason and execution, or the first answer or start by its type. */
	static describeOutcome(effects: readonly Effect[]): string {
		for (const effect of effects) {
			if (effect.type === 'refuse') {
				return `${effect.refusal.reason}, ${effect.refusal.execution}`;
			}

			if (effect.type === 'start-attempt' || effect.type === 'answer' || effect.type === 'answer-recorded') {
				return effect.type;
			}
		}

		return 'nothing';
	}

	/** Identifier of the first attempt started, or an empty text. */
	static findAttemptId(effects: readonly Effect[]): string {
		return effects.find(effect => effect.type === 'start-attempt')?.attemptId ?? '';
	}

	readonly node: Node;
	readonly store: StoreModel;
	/** Faults of the next store calls, in order; further calls succeed. */
	readonly storeFaults: StoreFault[] = [];
	/** All effects so far. */
	readonly effects: Effect[] = [];
	at = 0;
	readonly #instances: ListedInstance[];
	readonly #runningLimit: number;
	readonly #delayedCalls: Array<EffectOf<'store-transact'>> = [];
	#revision = 0;

	constructor(options: FixtureOptions = {}) {
		const {id = 'entry-1', store = new StoreModel(), workers = 4, runningLimit = 10, peers = []} = options;
		this.store = store;
		this.#runningLimit = runningLimit;
		this.node = createNode({id, zone: 'zone-a', soleHolder: true});
		this.#instances = Array.from({length: workers}, (_, index) => ({
			id: `w-${index}`, address: `http://127.0.0.1:1/${index}`, zone: index % 2 === 0 ? 'zone-a' : 'zone-b', rack: 'r-1', pool: 'web', state: 'live',
		}));
		this.loadCatalogue([]);
		this.apply({type: 'peers-listed', at: 0, members: [id, ...peers]});
		this.list();
	}

	/** Loads the catalogue with the given availability zones withdrawn and all others in service. */
	loadCatalogue(withdrawnZones: readonly string[]): Effect[] {
		const parsed = parseCatalogue({
			organisations: {main: {owner}},
			teams: {
				first: {
					owner, organisation: 'main', share: 1, limits: {running: this.#runningLimit}, keys: {first: {hash: keyHashes.first}},
				},
				second: {
					owner, organisation: 'main', share: 1, limits: {running: this.#runningLimit}, keys: {first: {hash: keyHashes.second}},
				},
			},
			pools: {web: {owner}},
			services: {web: {owner, pool: 'web', limits: {unavailable: 1}}},
			queues: {mail: {owner, service: 'web', repeatable: true}, orders: {owner, service: 'web'}},
			zones: {
				'zone-a': {owner, region: 'main', withdrawn: withdrawnZones.includes('zone-a')},
				'zone-b': {owner, region: 'main', withdrawn: withdrawnZones.includes('zone-b')},
			},
		});
		if (!parsed.ok) {
			throw new Error(JSON.stringify(parsed.problems));
		}

		this.#revision += 1;
		return this.apply({type: 'catalogue-loaded', at: this.at, snapshot: createSnapshot(parsed.catalogue, this.#revision)});
	}

	/** Lists the instances, some of them as leaving or not at all. */
	list(leaving: readonly string[] = [], absent: readonly string[] = []): Effect[] {
		const listed = this.#instances.filter(instance => !absent.includes(instance.id));
		const instances = listed.map(instance => ({...instance, state: leaving.includes(instance.id) ? 'leaving' as const : 'live' as const}));
		return this.apply({type: 'instances-listed', at: this.at, instances});
	}

	/** Applies an event and answers the store calls that follow from it. */
	apply(event: Event): Effect[] {
		reduce(this.node, {type: 'configuration-confirmed', at: event.at});
		const effects = reduce(this.node, event);
		this.effects.push(...effects);
		return effects.flatMap(effect => (effect.type === 'store-transact'
			? [effect, ...this.apply({
				type: 'store-transacted', at: this.at, purpose: effect.purpose, id: effect.id, outcome: this.#callStore(effect),
			})]
			: [effect]));
	}

	arrive(id: string, arrival: Partial<Arrival> = {}): Effect[] {
		return this.apply({
			type: 'request-arrived', at: this.at, arrival: {
				id, queue: 'orders', keyHash: keyHashes.first, fingerprint: 'f-1', bodyBytes: 0, ...arrival,
			},
		});
	}

	finish(attemptId: string, outcome: AttemptOutcome = succeeded): Effect[] {
		return this.apply({
			type: 'attempt-finished', at: this.at, attemptId, outcome,
		});
	}

	/** Advances time in ticks of at most 100 ms. */
	advance(durationMs: number): Effect[] {
		const effects: Effect[] = [];
		for (const end = this.at + durationMs; this.at < end;) {
			this.at = Math.min(end, this.at + 100);
			effects.push(...this.apply({type: 'tick', at: this.at}));
		}

		return effects;
	}

	/** Calls the store; a call with the fault `call-late` takes effect after the call that follows it. */
	#callStore(effect: EffectOf<'store-transact'>): StoreOutcome<TransactionResult> {
		const fault = this.storeFaults.shift() ?? 'none';
		const outcome = storeCallHandlers[fault](this.store, effect);
		for (const {transaction} of this.#delayedCalls.splice(0)) {
			this.store.transact(transaction);
		}

		if (fault === 'call-late') {
			this.#delayedCalls.push(effect);
		}

		return outcome;
	}
}
