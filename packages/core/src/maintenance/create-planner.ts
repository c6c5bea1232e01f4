import {type Planner, type PlannerSettings} from './planner.js';

const defaults: PlannerSettings = {
	leaseTtlMs: 10_000,
	maximumListAgeMs: 30_000,
	// Keeps one instance free for every 30 of a budget, and none of a smaller budget, which cannot spare one.
	failureReserveRatio: 1 / 30,
	drainMs: 600_000,
	rebootMs: 900_000,
	stepMs: 1_200_000,
	pollIntervalMs: 10_000,
	maximumRebootAttempts: 3,
	missingRetentionMs: 1_800_000,
};

/**
 * Creates a planner without a lease and without records.
 *
 * @param options - identifier that is unique to the process start, key prefix in the store, and settings
 * @returns the planner
 * @example
 * const planner = createPlanner({id: 'node-1-4711', prefix: 'rosemaryquay/'});
 */
export function createPlanner(options: {id: string; prefix: string; settings?: Partial<PlannerSettings>}): Planner {
	const {id, prefix, settings = {}} = options;
	return {
		id,
		prefix,
		settings: {...defaults, ...settings},
		lease: {type: 'none', retryAt: Number.NEGATIVE_INFINITY},
		rulesByPool: new Map(),
		withdrawnZones: new Set(),
		listedAt: Number.NEGATIVE_INFINITY,
		listedInstances: new Map(),
		missingSince: new Map(),
		notLive: new Set(),
		returnedAt: new Map(),
		newInstances: [],
		instances: new Map(),
		instancesToReconcile: new Set(),
		waveProgress: {planId: '', firstUnfinishedWave: new Map()},
		budgets: new Map(),
		plan: undefined,
		actions: new Map(),
		pendingTransactions: new Map(),
		loadSentAt: Number.NEGATIVE_INFINITY,
		utcOffsetMs: 0,
		sequence: 0,
	};
}
