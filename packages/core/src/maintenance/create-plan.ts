import {isPeak} from './is-peak.js';
import {type PoolRules} from './planner.js';
import {type InstanceRecord, type PlanPool, type PlanRecord} from './records.js';

/** Relative costs of an instance-hour of buffer capacity, an hour of roll-out time and a move. */
export type Weights = {readonly buffer: number; readonly rollOutTime: number; readonly moves: number};

/** Expected schedule and cost of a plan in one pool. */
export type PoolForecast = {
	readonly pool: string;
	readonly instances: number;
	readonly waves: number;
	readonly concurrency: number;
	/** Number of unavailable instances that the plan leaves free in the budget for unplanned failures. */
	readonly headroom: number;
	readonly startsAt: number;
	readonly endsAt: number;
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
	readonly spares: readonly string[];
	readonly weights: Weights;
	/** Expected duration of one step, in milliseconds. */
	readonly stepMs: number;
	/** Maximum time between two maintenances of an instance, in milliseconds; six weeks by default. */
	readonly cycleMs?: number;
};

const millisecondsPerHour = 3_600_000;
const millisecondsPerDay = 24 * millisecondsPerHour;
const defaultCycleMs = 6 * 7 * millisecondsPerDay;

/** Maximum number of waves, relative to the smallest number that the budget allows without loans. */
const maximumRollOutRatio = 1.2;

/** A loan moves an instance to the pool and back. */
const movesPerLoan = 2;

type ConcurrencyChoice = {readonly concurrency: number; readonly loans: number; readonly cost: number};

function chooseConcurrency(count: number, options: {budget: number; spares: number; weights: Weights; stepHours: number}): ConcurrencyChoice | undefined {
	const {budget, spares, weights, stepHours} = options;
	let best: ConcurrencyChoice | undefined;
	const bound = Math.ceil(count / Math.max(1, Math.min(count, budget)));
	for (let concurrency = Math.min(count, budget + spares); concurrency >= 1; concurrency--) {
		const waves = Math.ceil(count / concurrency);
		if (waves > bound * maximumRollOutRatio) {
			break;
		}

		const loans = Math.max(0, concurrency - budget);
		const hours = waves * stepHours;
		const cost = (weights.buffer * concurrency * hours) + (weights.rollOutTime * hours) + (weights.moves * movesPerLoan * loans);
		if (best === undefined || cost < best.cost) {
			best = {concurrency, loans, cost};
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

/** Finds the first time from which a step stays outside the pool's peak hours; `undefined` when there is none within two days. */
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

function forecastTimes(rules: PoolRules, options: {utcMs: number; stepMs: number; waves: number}): {startsAt: number; endsAt: number} | undefined {
	const {utcMs, stepMs, waves} = options;
	let at = findOffPeakStart(rules, utcMs, stepMs);
	const startsAt = at;
	for (let wave = 0; wave < waves && at !== undefined; wave++) {
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
 * Plans one maintenance of every instance. For each pool, chooses the concurrency and number of loans of least weighted
 * cost, then packs whole racks into waves of that size. Runs in O(n log n) of the number of instances.
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

	const spareInstances = options.spares.flatMap(pool => (instancesByPool.get(pool) ?? []).map(([instance]) => instance).toSorted().slice(0, pools.get(pool)?.unavailable ?? 0));
	const planned: Record<string, PlanPool> = {};
	const forecasts: PoolForecast[] = [];
	const blocked: string[] = [];
	let late = 0;
	for (const [pool, list] of instancesByPool) {
		const rules = pools.get(pool);
		if (rules === undefined) {
			continue;
		}

		const available = options.spares.includes(pool) ? 0 : spareInstances.length;
		const stepHours = stepMs / millisecondsPerHour;
		const choice = chooseConcurrency(list.length, {
			budget: Math.min(list.length, rules.unavailable), spares: available, weights, stepHours,
		});
		const waves = choice === undefined ? [] : packWaves(sortByLocation(list), choice.concurrency);
		const count = choice === undefined ? 0 : Math.ceil(list.length / choice.concurrency);
		const times = forecastTimes(rules, {utcMs, stepMs, waves: count});
		if (choice === undefined || times === undefined) {
			blocked.push(pool);
			late += list.length;
			continue;
		}

		const {concurrency, loans} = choice;
		// A spare instance is lent to one pool only, so that no loan needs a move between borrowing pools.
		const lent = spareInstances.splice(0, loans);
		planned[pool] = {waves, concurrency, lent};
		late += list.filter(([, record]) => record.maintainedAt + cycleMs < times.endsAt).length;
		forecasts.push({
			pool,
			instances: list.length,
			waves: waves.length,
			concurrency,
			headroom: Math.max(0, rules.unavailable + lent.length - concurrency),
			...times,
			bufferHours: concurrency * count * stepHours,
			moves: lent.length * movesPerLoan,
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
