import {preparePlanCommand, type PlanCommand} from '@rosemaryquay/core/maintenance/prepare-plan-command';
import {createPlan} from '@rosemaryquay/core/maintenance/create-plan';
import {planRecordSchema, type InstanceState} from '@rosemaryquay/core/maintenance/records';
import {PoolsModel} from '@rosemaryquay/testing/pools-model';
import {PlannerPump} from '../planner-pump.js';
import {createFleet} from './create-fleet.js';

/** Faults of one run; what is absent does not happen. */
export type FaultCase = {
	readonly seed: number;
	readonly loseAnswers?: number;
	readonly duplicateAnswers?: number;
	readonly planners?: number;
	/** Interval at which the acting planner ends without a word; another starts at once. */
	readonly crashEachMs?: number | undefined;
	/** The planner ends at each write of a record with this state. */
	readonly crashAtState?: InstanceState;
	readonly pauseEachMs?: number | undefined;
	readonly storeOutageEachMs?: number | undefined;
	readonly listOutageEachMs?: number | undefined;
	readonly withdrawZoneEachMs?: number | undefined;
	readonly failuresPerDay?: number;
	/** Two operators pause, resume and pause again at the same moments, each on the revision that it saw. */
	readonly operators?: boolean;
	readonly faultyInstances?: boolean;
};

export type FaultResult = {
	readonly ended: boolean;
	readonly hours: number;
	readonly budgetViolations: number;
	readonly unseenOverruns: number;
	readonly poolViolations: number;
	readonly suspects: number;
	readonly conflicts: number;
	readonly crashes: number;
	readonly moves: number;
	readonly reboots: number;
};

const msPerHour = 3_600_000;
const msPerDay = 24 * msPerHour;
const planKey = 'rosemaryquay/fleet/plan';
const startsAt = Date.UTC(2026, 0, 5, 10);
const stepMs = 600_000;
const limitMs = 5 * msPerDay;
const pauseMs = 40_000;
const outageMs = 60_000;
const withdrawalMs = 20 * 60_000;
const repairMs = 1_800_000;

function createPools(seed: number, faulty: boolean) {
	const fleet = createFleet({instances: 40, pools: 5, zones: 4});
	const pools = new PoolsModel({
		actionTime: (instance, action) => (action === 'drain' ? 120_000 : 60_000) + ((Number(instance.id.split('-').at(-1)) * 7919 * seed) % 60_000),
	});
	for (const instance of fleet.instances) {
		const added = pools.add(instance);
		if (faulty && instance.id.endsWith('-3')) {
			added.fault = instance.pool === 'pool-1' ? 'never-returns' : 'fails-after-reboot';
		}
	}

	// The last pool has no budget of its own, so that its roll-out needs a loan.
	const last = fleet.rules.get('pool-4');
	const rules = new Map(fleet.rules);
	if (last !== undefined) {
		rules.set('pool-4', {...last, maximumUnavailable: 0});
	}

	return {fleet: {...fleet, rules}, pools};
}

class FaultRun {
	crashes = 0;
	conflicts = 0;
	readonly pump: PlannerPump;
	readonly #faults: FaultCase;
	readonly #pools: PoolsModel;
	#nextPlanner = 1;

	constructor(faults: FaultCase, pump: PlannerPump, pools: PoolsModel) {
		this.#faults = faults;
		this.pump = pump;
		this.#pools = pools;
	}

	addPlanner(): void {
		this.pump.addPlanner(`planner-${this.#nextPlanner}`);
		this.#nextPlanner += 1;
	}

	crash(): void {
		const [id] = [...this.pump.planners].find(([, {planner}]) => planner.lease.type === 'held') ?? [];
		if (id !== undefined) {
			this.crashes += 1;
			this.pump.crashPlanner(id);
			this.addPlanner();
		}
	}

	start(): void {
		const {pump} = this;
		const {
			loseAnswers = 0, duplicateAnswers = 0, crashEachMs, pauseEachMs, storeOutageEachMs, listOutageEachMs, withdrawZoneEachMs, failuresPerDay = 0, operators = false, crashAtState,
		} = this.#faults;
		pump.faults.loseAnswers = loseAnswers;
		pump.faults.duplicateAnswers = duplicateAnswers;
		this.#repeat(crashEachMs, () => {
			this.crash();
		});
		this.#repeat(pauseEachMs, () => {
			for (const host of pump.planners.values()) {
				host.pausedUntil = host.planner.lease.type === 'held' ? pump.now + pauseMs : host.pausedUntil;
			}
		});
		this.#repeat(storeOutageEachMs, () => {
			pump.faults.storeDown = true;
			pump.schedule(pump.now + outageMs, () => {
				pump.faults.storeDown = false;
			});
		});
		this.#repeat(listOutageEachMs, () => {
			pump.faults.listFrozen = true;
			pump.schedule(pump.now + (2 * outageMs), () => {
				pump.faults.listFrozen = false;
			});
		});
		this.#repeat(withdrawZoneEachMs, () => {
			pump.setWithdrawn(new Set(['zone-1']));
			pump.schedule(pump.now + withdrawalMs, () => {
				pump.setWithdrawn(new Set());
			});
		});
		this.#repeat(failuresPerDay > 0 ? msPerDay / failuresPerDay : undefined, () => {
			this.#fail();
		});
		this.#repeat(operators ? stepMs : undefined, () => {
			this.#race();
		});
		pump.onRecord = (id, record) => {
			if (record?.state === 'suspect') {
				// The platform takes away what the report named.
				pump.schedule(pump.now + repairMs, () => {
					this.#pools.remove(id);
				});
			}

			if (crashAtState !== undefined && record?.state === crashAtState && pump.random() < 0.5) {
				pump.schedule(pump.now, () => {
					this.crash();
				});
			}
		};
	}

	#repeat(eachMs: number | undefined, run: () => void): void {
		if (eachMs !== undefined) {
			this.pump.schedule(this.pump.now + eachMs, () => {
				run();
				this.#repeat(eachMs, run);
			});
		}
	}

	#fail(): void {
		const {pump} = this;
		const ids = [...this.#pools.instances.keys()];
		const id = ids[Math.floor(pump.random() * ids.length)] ?? '';
		if (!pump.downSince.has(id) && pump.records.get(id)?.state === 'in-service') {
			this.#pools.setDown(id, true);
			pump.downSince.set(id, pump.now);
			pump.schedule(pump.now + repairMs, () => {
				this.#pools.setDown(id, false);
				pump.downSince.delete(id);
			});
		}
	}

	/** Two operators see the same revision and both write; the second one must get a conflict. */
	#race(): void {
		const {store} = this.pump;
		const entry = store.entries.get(planKey);
		if (entry === undefined) {
			return;
		}

		const seen = {value: planRecordSchema.parse(JSON.parse(entry.value)), revision: entry.modRevision};
		const commands: PlanCommand[] = seen.value.status === 'paused' ? ['resume', 'pause'] : ['pause', 'resume'];
		for (const command of commands) {
			const controlled = preparePlanCommand(seen, command, {key: planKey, revision: seen.revision});
			if (controlled.ok && !store.transact(controlled.transaction).succeeded) {
				this.conflicts += 1;
			}
		}
	}
}

/**
 * Rolls a plan out over 40 instances in 5 pools under faults, on virtual time.
 *
 * @param faults - the faults
 * @returns whether the roll-out ended, and the violations seen
 * @example
 * const {ended, budgetViolations} = runFaults({seed: 1, loseAnswers: 0.2, planners: 2});
 */
export function runFaults(faults: FaultCase): FaultResult {
	const {seed, planners = 1, faultyInstances = false} = faults;
	const {fleet, pools} = createPools(seed, faultyInstances);
	const pump = new PlannerPump({
		seed, utcMs: startsAt - msPerHour, rules: fleet.rules, pools, settings: {stepMs, rebootMs: 300_000, missingRetentionMs: stepMs},
	});
	const run = new FaultRun(faults, pump, pools);
	for (let index = 0; index < planners; index++) {
		run.addPlanner();
	}

	pump.run(msPerHour);
	const {plan} = createPlan(pump.records, {
		id: 'plan-1', utcMs: pump.utcMs, pools: fleet.rules, sparePools: fleet.spares, weights: {buffer: 1, rollOutTime: 20, moves: 20}, stepMs,
	});
	pump.store.put(planKey, JSON.stringify(plan));
	run.start();
	const begunAt = pump.now;
	let checkedAt = begunAt;
	const isEnded = (): boolean => [...pump.records.values()].every(record => record.state === 'suspect'
		|| (record.state === 'in-service' && record.home === undefined && record.maintainedAt >= plan.createdAt));
	const ended = pump.run(begunAt + limitMs, () => {
		const due = pump.now >= checkedAt + stepMs;
		checkedAt = due ? pump.now : checkedAt;
		return due && isEnded();
	});
	return {
		ended,
		hours: (pump.now - begunAt) / msPerHour,
		budgetViolations: pump.budgetViolations,
		unseenOverruns: pump.unseenOverruns,
		poolViolations: pump.poolViolations,
		suspects: new Set(pump.reports.filter(({report}) => report === 'instance-suspect').map(({subject}) => subject)).size,
		conflicts: run.conflicts,
		crashes: run.crashes,
		moves: pools.effects.move,
		reboots: pools.effects.reboot,
	};
}
