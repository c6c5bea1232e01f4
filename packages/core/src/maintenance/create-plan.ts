import {isPeak} from './is-peak.js';
import {type PoolRules} from './planner.js';
import {type InstanceRecord, type PlanPool, type PlanRecord} from './records.js';

/** Relative cost of an instance-hour of buffer, an hour of roll-out time and a move. */
export type Weights = {readonly buffer: number; readonly rollOutTime: number; readonly moves: number};

/** What a plan will do in one pool and what it costs. */
export type PoolForecast = {
	readonly pool: string;
	readonly instances: number;
	readonly waves: number;
	readonly concurrency: number;
	/** Part of the budget that the plan leaves to unplanned failures. */
	readonly headroom: number;
	readonly startsAt: number;
	readonly endsAt: number;
	readonly bufferHours: number;
	readonly moves: number;
};

export type Forecast = {
	readonly pools: readonly PoolForecast[];
	/** Pools that have no budget and that no spare instance can join. */
	readonly blocked: readonly string[];
	/** Instances whose maintenance falls due before the plan is expected to reach the end. */
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
	/** Time that one step is expected to take, in milliseconds. */
	readonly stepMs: number;
	/** Longest time between two maintenances of an instance, in milliseconds. */
	readonly cycleMs?: number;
};

const millisecondsPerHour = 3_600_000;
const millisecondsPerDay = 24 * millisecondsPerHour;
const sixWeeksMs = 6 * 7 * millisecondsPerDay;

/** Longest roll-out relative to the bound that the budget alone allows. */
const maximumStretch = 1.2;

/** Moves of one loan: to the pool and back. */
const movesPerLoan = 2;

type Choice = {readonly concurrency: number; readonly loans: number; readonly cost: number};

function chooseConcurrency(count: number, options: {budget: number; spares: number; weights: Weights; stepHours: number}): Choice | undefined {
	const {budget, spares, weights, stepHours} = options;
	let best: Choice | undefined;
	const bound = Math.ceil(count / Math.max(1, Math.min(count, budget)));
	for (let concurrency = Math.min(count, budget + spares); concurrency >= 1; concurrency--) {
		const waves = Math.ceil(count / concurrency);
		if (waves > bound * maximumStretch) {
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

/** Packs whole racks into waves; a rack larger than a wave is split. */
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

/** The first moment from which a step stays out of the pool's peak; `undefined` when there is none in two days. */
function nextOffPeak(rules: PoolRules, utcMs: number, stepMs: number): number | undefined {
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

function forecastEnd(rules: PoolRules, options: {utcMs: number; stepMs: number; waves: number}): {startsAt: number; endsAt: number} | undefined {
	const {utcMs, stepMs, waves} = options;
	let at = nextOffPeak(rules, utcMs, stepMs);
	const startsAt = at;
	for (let wave = 0; wave < waves && at !== undefined; wave++) {
		at = nextOffPeak(rules, at, stepMs);
		at = at === undefined ? undefined : at + stepMs;
	}

	return startsAt === undefined || at === undefined ? undefined : {startsAt, endsAt: at};
}

/** Sorts by availability zone, rack and identifier; each key is built once, because building it in comparisons took most of a plan's time. */
function sortByLocation(members: ReadonlyArray<readonly [string, InstanceRecord]>): Array<readonly [string, InstanceRecord]> {
	const keyed = members.map(entry => ({key: `${entry[1].zone}/${entry[1].rack}/${entry[0]}`, entry}));
	keyed.sort((a, b) => (a.key < b.key ? -1 : 1));
	return keyed.map(({entry}) => entry);
}

/**
 * Plans one maintenance of every instance: for each pool the concurrency and loans that cost least
 * by the weights, then waves of whole racks within it. Takes n log n in the number of instances.
 *
 * @param instances - records by instance identifier
 * @param options - time, rules by pool, spare pools, weights, and the expected time of a step
 * @returns the plan record and its forecast
 * @example
 * const {plan, forecast} = createPlan(records, {id: 'plan-1', utcMs: Date.now(), pools, spares: ['misc'], weights, stepMs: 1_200_000});
 */
export function createPlan(instances: ReadonlyMap<string, InstanceRecord>, options: PlanOptions): {plan: PlanRecord; forecast: Forecast} {
	const {
		id, utcMs, pools, weights, stepMs, cycleMs = sixWeeksMs,
	} = options;
	const members = new Map<string, Array<readonly [string, InstanceRecord]>>();
	for (const entry of instances) {
		const [, record] = entry;
		if (record.state !== 'suspect' && record.home === undefined) {
			const list = members.get(record.pool) ?? [];
			list.push(entry);
			members.set(record.pool, list);
		}
	}

	const spares = options.spares.flatMap(pool => (members.get(pool) ?? []).map(([instance]) => instance).toSorted().slice(0, pools.get(pool)?.unavailable ?? 0));
	const planned: Record<string, PlanPool> = {};
	const forecasts: PoolForecast[] = [];
	const blocked: string[] = [];
	let late = 0;
	for (const [pool, list] of members) {
		const rules = pools.get(pool);
		if (rules === undefined) {
			continue;
		}

		const available = options.spares.includes(pool) ? 0 : spares.length;
		const stepHours = stepMs / millisecondsPerHour;
		const choice = chooseConcurrency(list.length, {
			budget: Math.min(list.length, rules.unavailable), spares: available, weights, stepHours,
		});
		const waves = choice === undefined ? [] : packWaves(sortByLocation(list), choice.concurrency);
		const count = choice === undefined ? 0 : Math.ceil(list.length / choice.concurrency);
		const times = forecastEnd(rules, {utcMs, stepMs, waves: count});
		if (choice === undefined || times === undefined) {
			blocked.push(pool);
			late += list.length;
			continue;
		}

		const {concurrency, loans} = choice;
		// A spare instance is lent to one pool only, so that loans need no further moves between pools.
		const lent = spares.splice(0, loans);
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
