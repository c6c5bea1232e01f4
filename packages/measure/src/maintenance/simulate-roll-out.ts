import {createHash} from 'node:crypto';
import {createPlan, type Weights} from '@rosemaryquay/core/maintenance/create-plan';
import {isPeak} from '@rosemaryquay/core/maintenance/is-peak';
import {type ActionName, type PoolRules} from '@rosemaryquay/core/maintenance/planner';
import {PoolsModel, type ModelInstance} from '@rosemaryquay/testing/pools-model';
import {PlannerSimulation} from '../planner-simulation.js';
import {type PlannerFleet} from './create-fleet.js';

const msPerHour = 3_600_000;
const msPerDay = 24 * msPerHour;
const prefix = 'rosemaryquay/';

/** Start of the roll-outs in UTC, after the morning peak. */
const startsAt = Date.UTC(2026, 0, 5, 9);
const maximumRollOutMs = 14 * msPerDay;
const restartMs = 300_000;
const repairMs = 4 * msPerHour;
const stepMs = 900_000;
const largeFleetInstances = 1000;

export type MethodResult = {readonly hours: number; readonly bufferHours: number};

export type RollOutResult = {
	readonly hours: number;
	/** Longest roll-out time of a pool divided by the longest of the minimum times that the budgets allow the pools, both without peak hours. */
	readonly stretch: number;
	/** Instance-hours for which capacity is held back for the roll-out. */
	readonly bufferHours: number;
	/** Instance-hours for which instances were out of service by plan. */
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
	readonly baselines: {readonly single: MethodResult; readonly batch: MethodResult};
};

/** Returns a number between 0 and 1 that depends only on text and seed, so that every method has the same action times. */
function hashToUnitInterval(text: string, seed: number): number {
	return createHash('sha256').update(`${seed}/${text}`).digest().readUInt32BE(0) / (2 ** 32);
}

function createActionTime(seed: number) {
	const ranges: Record<ActionName, readonly [number, number]> = {
		drain: [60_000, 480_000], reboot: [240_000, 480_000], undrain: [5000, 15_000], move: [60_000, 120_000],
	};
	return ({id}: Pick<ModelInstance, 'id'>, action: ActionName): number => {
		const [low, high] = ranges[action];
		return Math.round(low + ((high - low) * hashToUnitInterval(`${id}/${action}`, seed)));
	};
}

type Durations = ReadonlyMap<string, readonly number[]>;

/** Baseline with one instance of the whole fleet at a time: each pool holds one instance back as a buffer until its last one is done. */
function calculateSequential(durations: Durations): MethodResult {
	let at = 0;
	let buffer = 0;
	for (const times of durations.values()) {
		at += times.reduce((sum, time) => sum + time, 0);
		buffer += at;
	}

	return {hours: at / msPerHour, bufferHours: buffer / msPerHour};
}

/** Baseline with batches of the size of the budget, in all pools in parallel; a pool's next batch starts when the last instance of the previous one is back in service. */
function calculateBatches(durations: Durations, rules: ReadonlyMap<string, PoolRules>): MethodResult {
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

function countOffPeakMs(rules: PoolRules, from: number, to: number): number {
	const sampleIntervalMs = 60_000;
	let total = 0;
	for (let at = from; at < to; at += sampleIntervalMs) {
		total += isPeak(rules, at) ? 0 : Math.min(sampleIntervalMs, to - at);
	}

	return total;
}

function scheduleFailures(simulation: PlannerSimulation, pools: PoolsModel, options: {failuresPerDay?: number; replacementsPerDay?: number}) {
	const {failuresPerDay = 0, replacementsPerDay = 0} = options;
	const counts = {failed: 0, replaced: 0};
	const pickServingInstance = (): ModelInstance | undefined => {
		const all = [...simulation.records.keys()];
		const instance = pools.instances.get(all[Math.floor(simulation.random() * all.length)] ?? '');
		return instance?.down === false && simulation.records.get(instance.id)?.state === 'in-service' ? instance : undefined;
	};

	const takeDown = (instance: ModelInstance, durationMs: number): void => {
		pools.setDown(instance.id, true);
		simulation.downSince.set(instance.id, simulation.now);
		simulation.schedule(simulation.now + durationMs, () => {
			pools.setDown(instance.id, false);
			simulation.downSince.delete(instance.id);
		});
	};

	const repeat = (perDay: number, run: () => void): void => {
		if (perDay > 0) {
			simulation.schedule(simulation.now + ((0.5 + simulation.random()) * msPerDay / perDay), () => {
				run();
				repeat(perDay, run);
			});
		}
	};

	repeat(failuresPerDay, () => {
		const instance = pickServingInstance();
		if (instance !== undefined) {
			counts.failed += 1;
			takeDown(instance, repairMs);
		}
	});
	repeat(replacementsPerDay, () => {
		const instance = pickServingInstance();
		if (instance === undefined) {
			return;
		}

		counts.replaced += 1;
		// Every second instance returns after a restart, the others are replaced by a new instance.
		if (counts.replaced % 2 === 0) {
			takeDown(instance, restartMs);
			return;
		}

		const {id, pool, zone, rack} = instance;
		pools.setDown(id, true);
		simulation.downSince.set(id, simulation.now);
		simulation.schedule(simulation.now + restartMs, () => {
			pools.remove(id);
			simulation.downSince.delete(id);
			pools.add({
				id: `${pool}-r${counts.replaced}-${simulation.now}`, pool, zone, rack,
			});
		});
	});
	return counts;
}

type PoolProgress = {
	/** Creation time of the plan. */
	planCreatedAt: number;
	readonly startedAt: Map<string, number>;
	/** Times at which maintenance of an instance ended, by pool, in order. */
	readonly endedAt: Map<string, number[]>;
};

/** Integrates a pool's buffer over its roll-out: the plan's concurrency, limited to the instances that are not done yet. */
function calculateBufferMs(rules: PoolRules, concurrency: number, times: readonly number[]): number {
	let total = 0;
	for (let index = 1; index < times.length; index++) {
		total += countOffPeakMs(rules, times[index - 1] ?? 0, times[index] ?? 0) * Math.min(concurrency, times.length - index);
	}

	return total;
}

/** Records when each pool's first planned step begins and when each of its steps ends. */
function trackPoolProgress(simulation: PlannerSimulation): PoolProgress {
	const progress: PoolProgress = {planCreatedAt: Number.POSITIVE_INFINITY, startedAt: new Map(), endedAt: new Map()};
	simulation.onRecordWritten = (_id, record) => {
		if (record?.state === 'draining' && record.step === 'maintain' && !progress.startedAt.has(record.pool)) {
			progress.startedAt.set(record.pool, simulation.utcMs);
		}

		if (record?.state === 'in-service' && record.maintainedAt >= progress.planCreatedAt && record.generation > 0) {
			const ends = progress.endedAt.get(record.pool) ?? [];
			ends.push(simulation.utcMs);
			progress.endedAt.set(record.pool, ends);
		}
	};

	return progress;
}

/**
 * Simulates the roll-out of a plan over a fleet on virtual time.
 *
 * @param fleet - the fleet
 * @param options - seed, weights of the plan, and failures and replacements a day
 * @returns duration in hours, buffer and downtime in instance-hours, moves, violations and baselines
 * @example
 * const {hours, bufferHours} = simulateRollOut(createFleet({instances: 40, pools: 5, zones: 4}), {seed: 1, weights});
 */
export function simulateRollOut(fleet: PlannerFleet, options: {seed: number; weights: Weights; failuresPerDay?: number; replacementsPerDay?: number}): RollOutResult {
	const {rules, sparePools, instances} = fleet;
	const {seed, weights} = options;
	const actionTime = createActionTime(seed);
	const pools = new PoolsModel({actionTime});
	for (const instance of instances) {
		pools.add(instance);
	}

	const simulation = new PlannerSimulation({
		seed, utcMs: startsAt - msPerHour, rules, pools, settings: {
			pollIntervalMs: 5000, stepMs, missingRetentionMs: 600_000, maximumListAgeMs: 120_000, leaseTtlMs: 60_000,
		},
		// A longer interval means fewer events, so that the largest supported fleet (17,000 instances) finishes within an experiment's time.
		...(instances.length > largeFleetInstances && {listMs: 30_000}),
	});
	simulation.addPlanner('planner-1');
	// The planner records the fleet in the hour before the roll-out.
	simulation.run(msPerHour, () => simulation.records.size === instances.length);
	simulation.run(msPerHour);
	const progress = trackPoolProgress(simulation);
	const planKey = `${prefix}fleet/plan`;
	const {plan, forecast} = createPlan(simulation.records, {
		id: 'plan-1', utcMs: simulation.utcMs, pools: rules, sparePools, weights, stepMs,
	});
	progress.planCreatedAt = plan.createdAt;
	const writesBefore = simulation.storeWrites;
	simulation.store.put(planKey, JSON.stringify(plan));
	const counts = scheduleFailures(simulation, pools, options);
	const startedAt = simulation.now;
	const remaining = new Set(simulation.records.keys());
	const trackProgress = simulation.onRecordWritten;
	simulation.onRecordWritten = (id, record) => {
		trackProgress?.(id, record);
		if (record === undefined || record.state === 'suspect' || (record.state === 'in-service' && record.maintainedAt >= plan.createdAt)) {
			remaining.delete(id);
		}
	};

	const areBorrowedInstancesReturned = (): boolean => [...simulation.records.values()].every(record => record.home === undefined);
	simulation.run(startedAt + maximumRollOutMs, () => remaining.size === 0);
	const hours = (simulation.now - startedAt) / msPerHour;
	// The roll-out ends with the last maintenance; moves are counted until all borrowed instances are back in their own pools.
	simulation.onRecordWritten = undefined;
	let checkedAt = simulation.now;
	simulation.run(startedAt + maximumRollOutMs, () => {
		const due = simulation.now >= checkedAt + stepMs;
		checkedAt = due ? simulation.now : checkedAt;
		return due && areBorrowedInstancesReturned();
	});

	const durations = new Map<string, number[]>();
	for (const {id, pool} of instances) {
		const list = durations.get(pool) ?? [];
		list.push(actionTime({id}, 'drain') + actionTime({id}, 'reboot') + actionTime({id}, 'undrain'));
		durations.set(pool, list);
	}

	let longestMinimumMs = 0;
	let longestMs = 0;
	let bufferMs = 0;
	for (const [pool, times] of durations) {
		const poolRules = rules.get(pool);
		const planned = plan.pools[pool];
		const from = progress.startedAt.get(pool);
		const to = progress.endedAt.get(pool)?.at(-1);
		if (poolRules === undefined || planned === undefined || from === undefined || to === undefined) {
			continue;
		}

		const sum = times.reduce((total, time) => total + time, 0);
		longestMinimumMs = Math.max(longestMinimumMs, sum / poolRules.maximumUnavailable, Math.max(...times));
		longestMs = Math.max(longestMs, countOffPeakMs(poolRules, from, to));
		bufferMs += calculateBufferMs(poolRules, planned.concurrency, [from, ...progress.endedAt.get(pool) ?? []]);
	}

	return {
		hours,
		stretch: longestMs / longestMinimumMs,
		bufferHours: bufferMs / msPerHour,
		outHours: simulation.plannedDowntimeMs / msPerHour,
		moves: pools.effects.move,
		movesLowerBound: forecast.cost.moves,
		budgetViolations: simulation.budgetViolations,
		unseenOverruns: simulation.unseenOverruns,
		poolViolations: simulation.poolViolations,
		unmaintained: remaining.size,
		storeWrites: simulation.storeWrites - writesBefore,
		...counts,
		baselines: {single: calculateSequential(durations), batch: calculateBatches(durations, rules)},
	};
}
