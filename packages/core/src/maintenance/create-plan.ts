import {isPeak} from './is-peak.js';
import {type PoolRules} from './planner.js';
import {type InstanceRecord, type PlanPool, type PlanRecord} from './records.js';

/** Relative costs of one instance being out of service for an hour (`buffer`), an hour of roll-out time and a move. */
export type Weights = {readonly buffer: number; readonly rollOutTime: number; readonly moves: number};

/** Expected schedule and cost of a plan in one pool. */
export type PoolForecast = {
	readonly pool: string;
	readonly instances: number;
	readonly waves: number;
	readonly concurrency: number;
	/** Number of further instances that may fail before the pool exceeds its budget. */
	readonly headroom: number;
	readonly startsAt: number;
	readonly endsAt: number;
	/** Instance-hours out of service. */
	readonly bufferHours: number;
	readonly moves: number;
};

export type Forecast = {
	readonly pools: readonly PoolForecast[];
	/** Pools that cannot be planned: they have neither a budget nor spare instances, or no time outside their peak hours. */
	readonly blocked: readonly string[];
	/** Number of instances whose maintenance is due before their pool is expected to finish, and all instances of blocked pools. */
	readonly late: number;
	readonly endsAt: number;
	readonly cost: {readonly bufferHours: number; readonly rollOutHours: number; readonly moves: number; readonly total: number};
};

export type PlanOptions = {
	readonly id: string;
	readonly utcMs: number;
	readonly pools: ReadonlyMap<string, PoolRules>;
	/** Pools whose instances may be lent. */
	readonly sparePools: readonly string[];
	readonly weights: Weights;
	/** Expected duration of one step, in milliseconds. */
	readonly stepMs: number;
	/** Maximum time between two maintenances of an instance, in milliseconds; six weeks by default. */
	readonly cycleMs?: number;
};

const millisecondsPerHour = 3_600_000;
const millisecondsPerDay = 24 * millisecondsPerHour;
const defaultCycleMs = 6 * 7 * millisecondsPerDay;

/**
 * Maximum number of rounds of a plan, relative to the smallest number that the budget allows without lent instances. Limits
 * how much longer a roll-out may take in order to have fewer instances out of service at once.
 */
const maximumRollOutRatio = 1.2;

/** A lent instance is moved to the pool and back. */
const movesPerLentInstance = 2;

type ConcurrencyChoice = {readonly concurrency: number; readonly lentCount: number; readonly cost: number};

function chooseConcurrency(instanceCount: number, options: {budget: number; spareCount: number; weights: Weights; stepHours: number}): ConcurrencyChoice | undefined {
	const {budget, spareCount, weights, stepHours} = options;
	let best: ConcurrencyChoice | undefined;
	const minimumRounds = Math.ceil(instanceCount / Math.max(1, Math.min(instanceCount, budget)));
	for (let concurrency = Math.min(instanceCount, budget + spareCount); concurrency >= 1; concurrency--) {
		const rounds = Math.ceil(instanceCount / concurrency);
		if (rounds > minimumRounds * maximumRollOutRatio) {
			break;
		}

		const lentCount = Math.max(0, concurrency - budget);
		const hours = rounds * stepHours;
		const cost = (weights.buffer * concurrency * hours) + (weights.rollOutTime * hours) + (weights.moves * movesPerLentInstance * lentCount);
		if (best === undefined || cost < best.cost) {
			best = {concurrency, lentCount, cost};
		}
	}

	return best;
}

/** Packs whole racks into waves, and splits racks that are larger than a wave. */
function packWaves(members: ReadonlyArray<readonly [string, InstanceRecord]>, size: number): string[][] {
	const racks = new Map<string, string[]>();
	for (const [id, {zone, rack}] of members) {
		const key = `${zone}/${rack}`;
		const ids = racks.get(key) ?? [];
		ids.push(id);
		racks.set(key, ids);
	}

	const waves: string[][] = [];
	let wave: string[] = [];
	for (const ids of racks.values()) {
		if (wave.length + ids.length > size && wave.length > 0) {
			waves.push(wave);
			wave = [];
		}

		for (const id of ids) {
			if (wave.length === size) {
				waves.push(wave);
				wave = [];
			}

			wave.push(id);
		}
	}

	return wave.length > 0 ? [...waves, wave] : waves;
}

/**
 * Finds the first time at which a step neither starts nor is expected to end in the pool's peak hours; `undefined` when there
 * is none. Peak hours repeat daily, so the search of two days covers every hour of the day as a start.
 */
function findOffPeakStart(rules: PoolRules, utcMs: number, stepMs: number): number | undefined {
	const end = utcMs + (2 * millisecondsPerDay);
	let at = utcMs;
	while (at < end) {
		if (!isPeak(rules, at) && !isPeak(rules, at + stepMs)) {
			return at;
		}

		at = (Math.floor(at / millisecondsPerHour) + 1) * millisecondsPerHour;
	}

	return undefined;
}

function forecastTimes(rules: PoolRules, options: {utcMs: number; stepMs: number; rounds: number}): {startsAt: number; endsAt: number} | undefined {
	const {utcMs, stepMs, rounds} = options;
	let at = findOffPeakStart(rules, utcMs, stepMs);
	const startsAt = at;
	for (let round = 0; round < rounds && at !== undefined; round++) {
		at = findOffPeakStart(rules, at, stepMs);
		at = at === undefined ? undefined : at + stepMs;
	}

	return startsAt === undefined || at === undefined ? undefined : {startsAt, endsAt: at};
}

/** Sorts by availability zone, rack and identifier. Each sort key is built once, because building keys in the comparator took most of the planning time. */
function sortByLocation(members: ReadonlyArray<readonly [string, InstanceRecord]>): Array<readonly [string, InstanceRecord]> {
	const keyed = members.map(entry => ({key: `${entry[1].zone}/${entry[1].rack}/${entry[0]}`, entry}));
	keyed.sort((a, b) => (a.key < b.key ? -1 : 1));
	return keyed.map(({entry}) => entry);
}

/**
 * Plans one maintenance of every instance. For each pool, chooses the concurrency and number of lent instances of least
 * weighted cost, then packs whole racks into waves of that size. Runs in O(n log n) of the number of instances.
 *
 * @param instances - records by instance identifier
 * @param options - time, rules by pool, spare pools, weights, and the expected duration of a step
 * @returns the plan record and its forecast
 * @example
 * const {plan, forecast} = createPlan(records, {id: 'plan-1', utcMs: Date.now(), pools, spares: ['misc'], weights, stepMs: 1_200_000});
 */
export function createPlan(instances: ReadonlyMap<string, InstanceRecord>, options: PlanOptions): {plan: PlanRecord; forecast: Forecast} {
	const {
		id, utcMs, pools, weights, stepMs, cycleMs = defaultCycleMs,
	} = options;
	const instancesByPool = new Map<string, Array<readonly [string, InstanceRecord]>>();
	for (const entry of instances) {
		const [, record] = entry;
		if (record.state !== 'suspect' && record.home === undefined) {
			const list = instancesByPool.get(record.pool) ?? [];
			list.push(entry);
			instancesByPool.set(record.pool, list);
		}
	}

	// A lent instance counts against the budget of its home pool, so a spare pool lends at most its budget.
	const spareInstances = options.sparePools.flatMap(pool => (instancesByPool.get(pool) ?? []).map(([instance]) => instance).toSorted().slice(0, pools.get(pool)?.maximumUnavailable ?? 0));
	const planned: Record<string, PlanPool> = {};
	const forecasts: PoolForecast[] = [];
	const blocked: string[] = [];
	let late = 0;
	for (const [pool, list] of instancesByPool) {
		const rules = pools.get(pool);
		if (rules === undefined) {
			continue;
		}

		const spareCount = options.sparePools.includes(pool) ? 0 : spareInstances.length;
		const stepHours = stepMs / millisecondsPerHour;
		const choice = chooseConcurrency(list.length, {
			budget: Math.min(list.length, rules.maximumUnavailable), spareCount, weights, stepHours,
		});
		const waves = choice === undefined ? [] : packWaves(sortByLocation(list), choice.concurrency);
		// Steps of different waves overlap, so the duration depends on the concurrency, not on the number of waves.
		const rounds = choice === undefined ? 0 : Math.ceil(list.length / choice.concurrency);
		const times = forecastTimes(rules, {utcMs, stepMs, rounds});
		if (choice === undefined || times === undefined) {
			blocked.push(pool);
			late += list.length;
			continue;
		}

		const {concurrency, lentCount} = choice;
		// A spare instance is lent to one pool only, so it needs no move between borrowing pools.
		const lent = spareInstances.splice(0, lentCount);
		planned[pool] = {waves, concurrency, lent};
		late += list.filter(([, record]) => record.maintainedAt + cycleMs < times.endsAt).length;
		forecasts.push({
			pool,
			instances: list.length,
			waves: waves.length,
			concurrency,
			headroom: Math.max(0, rules.maximumUnavailable + lent.length - concurrency),
			...times,
			bufferHours: concurrency * rounds * stepHours,
			moves: lent.length * movesPerLentInstance,
		});
	}

	const endsAt = Math.max(utcMs, ...forecasts.map(forecast => forecast.endsAt));
	const bufferHours = forecasts.reduce((sum, forecast) => sum + forecast.bufferHours, 0);
	const moves = forecasts.reduce((sum, forecast) => sum + forecast.moves, 0);
	const rollOutHours = (endsAt - utcMs) / millisecondsPerHour;
	const total = (weights.buffer * bufferHours) + (weights.rollOutTime * rollOutHours) + (weights.moves * moves);
	return {
		plan: {
			id, status: 'running', createdAt: utcMs, pools: planned,
		},
		forecast: {
			pools: forecasts, blocked, late, endsAt, cost: {
				bufferHours, rollOutHours, moves, total,
			},
		},
	};
}
