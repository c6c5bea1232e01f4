import {createHash} from 'node:crypto';
import {createPlan, type Weights} from '@rosemaryquay/core/maintenance/create-plan';
import {isPeak} from '@rosemaryquay/core/maintenance/is-peak';
import {type ActionName, type PoolRules} from '@rosemaryquay/core/maintenance/planner';
import {PoolsModel, type ModelInstance} from '@rosemaryquay/testing/pools-model';
import {PlannerPump} from '../planner-pump.js';
import {type MeasuredFleet} from './create-fleet.js';

const msPerHour = 3_600_000;
const msPerDay = 24 * msPerHour;
const prefix = 'rosemaryquay/';

/** The roll-outs begin after the morning peak. */
const startsAt = Date.UTC(2026, 0, 5, 9);
const limitMs = 14 * msPerDay;
const restartMs = 300_000;
const repairMs = 4 * msPerHour;
const stepMs = 900_000;
const largeFleet = 1000;

export type Method = {readonly hours: number; readonly bufferHours: number};

export type RollOut = {
	readonly hours: number;
	/** Roll-out time relative to the bound that the budgets alone allow, both outside peak hours. */
	readonly stretch: number;
	readonly bufferHours: number;
	readonly outHours: number;
	readonly moves: number;
	readonly movesLowerBound: number;
	readonly budgetViolations: number;
	readonly unseenOverruns: number;
	readonly poolViolations: number;
	readonly unmaintained: number;
	readonly storeWrites: number;
	readonly replaced: number;
	readonly failed: number;
	readonly baselines: {readonly single: Method; readonly batch: Method};
};

/** A fixed number between 0 and 1 for a text, so that every method meets the same times. */
function spread(text: string, seed: number): number {
	return createHash('sha256').update(`${seed}/${text}`).digest().readUInt32BE(0) / (2 ** 32);
}

function createActionTime(seed: number) {
	const ranges: Record<ActionName, readonly [number, number]> = {
		drain: [60_000, 480_000], reboot: [240_000, 480_000], undrain: [5000, 15_000], move: [60_000, 120_000],
	};
	return ({id}: Pick<ModelInstance, 'id'>, action: ActionName): number => {
		const [low, high] = ranges[action];
		return Math.round(low + ((high - low) * spread(`${id}/${action}`, seed)));
	};
}

type Durations = ReadonlyMap<string, readonly number[]>;

/** One instance of the whole fleet at a time: each pool keeps one in reserve until its last one is done. */
function measureSingle(durations: Durations): Method {
	let at = 0;
	let buffer = 0;
	for (const times of durations.values()) {
		at += times.reduce((sum, time) => sum + time, 0);
		buffer += at;
	}

	return {hours: at / msPerHour, bufferHours: buffer / msPerHour};
}

/** Batches as large as the budget in every pool at once; the next starts when the last instance of one is back. */
function measureBatch(durations: Durations, rules: ReadonlyMap<string, PoolRules>): Method {
	let longest = 0;
	let buffer = 0;
	for (const [pool, times] of durations) {
		const size = rules.get(pool)?.maximumUnavailable ?? 1;
		let at = 0;
		for (let index = 0; index < times.length; index += size) {
			const batch = times.slice(index, index + size);
			const longestOfBatch = Math.max(...batch);
			at += longestOfBatch;
			buffer += longestOfBatch * batch.length;
		}

		longest = Math.max(longest, at);
	}

	return {hours: longest / msPerHour, bufferHours: buffer / msPerHour};
}

function offPeakMs(rules: PoolRules, from: number, to: number): number {
	const stepOfClock = 60_000;
	let total = 0;
	for (let at = from; at < to; at += stepOfClock) {
		total += isPeak(rules, at) ? 0 : Math.min(stepOfClock, to - at);
	}

	return total;
}

function scheduleFailures(pump: PlannerPump, pools: PoolsModel, options: {failuresPerDay?: number; replacementsPerDay?: number}) {
	const {failuresPerDay = 0, replacementsPerDay = 0} = options;
	const counts = {failed: 0, replaced: 0};
	const pick = (): ModelInstance | undefined => {
		const all = [...pump.records.keys()];
		const instance = pools.instances.get(all[Math.floor(pump.random() * all.length)] ?? '');
		return instance?.down === false && pump.records.get(instance.id)?.state === 'in-service' ? instance : undefined;
	};

	const goDown = (instance: ModelInstance, durationMs: number): void => {
		pools.setDown(instance.id, true);
		pump.downSince.set(instance.id, pump.now);
		pump.schedule(pump.now + durationMs, () => {
			pools.setDown(instance.id, false);
			pump.downSince.delete(instance.id);
		});
	};

	const repeat = (perDay: number, run: () => void): void => {
		if (perDay > 0) {
			pump.schedule(pump.now + ((0.5 + pump.random()) * msPerDay / perDay), () => {
				run();
				repeat(perDay, run);
			});
		}
	};

	repeat(failuresPerDay, () => {
		const instance = pick();
		if (instance !== undefined) {
			counts.failed += 1;
			goDown(instance, repairMs);
		}
	});
	repeat(replacementsPerDay, () => {
		const instance = pick();
		if (instance === undefined) {
			return;
		}

		counts.replaced += 1;
		// Every second one comes back as itself, the others are replaced by a new instance.
		if (counts.replaced % 2 === 0) {
			goDown(instance, restartMs);
			return;
		}

		const {id, pool, zone, rack} = instance;
		pools.setDown(id, true);
		pump.downSince.set(id, pump.now);
		pump.schedule(pump.now + restartMs, () => {
			pools.remove(id);
			pump.downSince.delete(id);
			pools.add({
				id: `${pool}-r${counts.replaced}-${pump.now}`, pool, zone, rack,
			});
		});
	});
	return counts;
}

type Watch = {
	/** Start of the plan. */
	since: number;
	readonly begunAt: Map<string, number>;
	/** Ends of maintenance in each pool, in order. */
	readonly ends: Map<string, number[]>;
};

/** Reserve of a pool over its roll-out: the plan's concurrency, at most the instances that are still to do. */
function reserveMs(rules: PoolRules, concurrency: number, times: readonly number[]): number {
	let total = 0;
	for (let index = 1; index < times.length; index++) {
		total += offPeakMs(rules, times[index - 1] ?? 0, times[index] ?? 0) * Math.min(concurrency, times.length - index);
	}

	return total;
}

/** Follows when each pool's first planned step begins and its last one ends. */
function watchPools(pump: PlannerPump): Watch {
	const watch: Watch = {since: Number.POSITIVE_INFINITY, begunAt: new Map(), ends: new Map()};
	pump.onRecord = (_id, record) => {
		if (record?.state === 'draining' && record.step === 'maintain' && !watch.begunAt.has(record.pool)) {
			watch.begunAt.set(record.pool, pump.utcMs);
		}

		if (record?.state === 'in-service' && record.maintainedAt >= watch.since && record.generation > 0) {
			const ends = watch.ends.get(record.pool) ?? [];
			ends.push(pump.utcMs);
			watch.ends.set(record.pool, ends);
		}
	};

	return watch;
}

/**
 * Rolls a plan out over a fleet on virtual time.
 *
 * @param fleet - the fleet
 * @param options - seed, weights of the plan, and failures and replacements a day
 * @returns the figures
 * @example
 * const {hours, bufferHours} = rollOut(createFleet({instances: 40, pools: 5, zones: 4}), {seed: 1, weights});
 */
export function rollOut(fleet: MeasuredFleet, options: {seed: number; weights: Weights; failuresPerDay?: number; replacementsPerDay?: number}): RollOut {
	const {rules, spares: sparePools, instances} = fleet;
	const {seed, weights} = options;
	const actionTime = createActionTime(seed);
	const pools = new PoolsModel({actionTime});
	for (const instance of instances) {
		pools.add(instance);
	}

	const pump = new PlannerPump({
		seed, utcMs: startsAt - msPerHour, rules, pools, settings: {
			pollIntervalMs: 5000, stepMs, missingRetentionMs: 600_000, maximumListAgeMs: 120_000, leaseTtlMs: 60_000,
		},
		// Fewer events keep the design size within the time of an experiment.
		...(instances.length > largeFleet && {listMs: 30_000}),
	});
	pump.addPlanner('planner-1');
	// The fleet is adopted in the hour before the roll-out.
	pump.run(msPerHour, () => pump.records.size === instances.length);
	pump.run(msPerHour);
	const watch = watchPools(pump);
	const planKey = `${prefix}fleet/plan`;
	const {plan, forecast} = createPlan(pump.records, {
		id: 'plan-1', utcMs: pump.utcMs, pools: rules, sparePools, weights, stepMs,
	});
	watch.since = plan.createdAt;
	const writesBefore = pump.storeWrites;
	pump.store.put(planKey, JSON.stringify(plan));
	const counts = scheduleFailures(pump, pools, options);
	const begunAt = pump.now;
	const remaining = new Set(pump.records.keys());
	const follow = pump.onRecord;
	pump.onRecord = (id, record) => {
		follow?.(id, record);
		if (record === undefined || record.state === 'suspect' || (record.state === 'in-service' && record.maintainedAt >= plan.createdAt)) {
			remaining.delete(id);
		}
	};

	const isHome = (): boolean => [...pump.records.values()].every(record => record.home === undefined);
	pump.run(begunAt + limitMs, () => remaining.size === 0);
	const hours = (pump.now - begunAt) / msPerHour;
	// The roll-out ends with the last maintenance; the moves count until lent instances are home.
	pump.onRecord = undefined;
	let checkedAt = pump.now;
	pump.run(begunAt + limitMs, () => {
		const due = pump.now >= checkedAt + stepMs;
		checkedAt = due ? pump.now : checkedAt;
		return due && isHome();
	});

	const durations = new Map<string, number[]>();
	for (const {id, pool} of instances) {
		const list = durations.get(pool) ?? [];
		list.push(actionTime({id}, 'drain') + actionTime({id}, 'reboot') + actionTime({id}, 'undrain'));
		durations.set(pool, list);
	}

	let longestBound = 0;
	let longest = 0;
	let bufferMs = 0;
	for (const [pool, times] of durations) {
		const poolRules = rules.get(pool);
		const planned = plan.pools[pool];
		const from = watch.begunAt.get(pool);
		const to = watch.ends.get(pool)?.at(-1);
		if (poolRules === undefined || planned === undefined || from === undefined || to === undefined) {
			continue;
		}

		const sum = times.reduce((total, time) => total + time, 0);
		longestBound = Math.max(longestBound, sum / poolRules.maximumUnavailable, Math.max(...times));
		longest = Math.max(longest, offPeakMs(poolRules, from, to));
		bufferMs += reserveMs(poolRules, planned.concurrency, [from, ...watch.ends.get(pool) ?? []]);
	}

	return {
		hours,
		stretch: longest / longestBound,
		bufferHours: bufferMs / msPerHour,
		outHours: pump.outMs / msPerHour,
		moves: pools.effects.move,
		movesLowerBound: forecast.cost.moves,
		budgetViolations: pump.budgetViolations,
		unseenOverruns: pump.unseenOverruns,
		poolViolations: pump.poolViolations,
		unmaintained: remaining.size,
		storeWrites: pump.storeWrites - writesBefore,
		...counts,
		baselines: {single: measureSingle(durations), batch: measureBatch(durations, rules)},
	};
}
