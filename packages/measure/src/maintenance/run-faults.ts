import {preparePlanCommand, type PlanCommand} from '@rosemaryquay/core/maintenance/prepare-plan-command';
import {createPlan} from '@rosemaryquay/core/maintenance/create-plan';
import {planRecordSchema, type InstanceState} from '@rosemaryquay/core/maintenance/records';
import {PoolsModel} from '@rosemaryquay/testing/pools-model';
import {PlannerSimulation} from '../planner-simulation.js';
import {createFleet} from './create-fleet.js';

/** Faults of one run; a fault that is not set does not occur. */
export type FaultCase = {
	readonly seed: number;
	readonly lostResponseProbability?: number;
	readonly duplicateResponseProbability?: number;
	readonly planners?: number;
	/** Interval at which the planner that holds the lease crashes; another starts at once. */
	readonly crashIntervalMs?: number | undefined;
	/** With a probability of one half, the planner that holds the lease crashes after a write of a record with this state. */
	readonly crashAtState?: InstanceState;
	readonly pauseIntervalMs?: number | undefined;
	readonly storeOutageIntervalMs?: number | undefined;
	readonly listOutageIntervalMs?: number | undefined;
	readonly zoneWithdrawalIntervalMs?: number | undefined;
	readonly failuresPerDay?: number;
	/** Whether two operators send conflicting pause and resume commands at the same moments, based on the same revision. */
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
/** Planner's step; also the interval of the operators' commands and of the check for the end, and the retention of missing instances. */
const stepMs = 600_000;
const maximumRollOutMs = 5 * msPerDay;
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

	// The last pool has a budget of 0, so that its roll-out needs a borrowed instance.
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
	readonly simulation: PlannerSimulation;
	readonly #faults: FaultCase;
	readonly #pools: PoolsModel;
	#nextPlanner = 1;

	constructor(faults: FaultCase, simulation: PlannerSimulation, pools: PoolsModel) {
		this.#faults = faults;
		this.simulation = simulation;
		this.#pools = pools;
	}

	addPlanner(): void {
		this.simulation.addPlanner(`planner-${this.#nextPlanner}`);
		this.#nextPlanner += 1;
	}

	crashLeaseHolder(): void {
		const [id] = [...this.simulation.planners].find(([, {planner}]) => planner.lease.type === 'held') ?? [];
		if (id !== undefined) {
			this.crashes += 1;
			this.simulation.crashPlanner(id);
			this.addPlanner();
		}
	}

	start(): void {
		const {simulation} = this;
		const {
			lostResponseProbability = 0,
			duplicateResponseProbability = 0,
			crashIntervalMs,
			pauseIntervalMs,
			storeOutageIntervalMs,
			listOutageIntervalMs,
			zoneWithdrawalIntervalMs,
			failuresPerDay = 0,
			operators = false,
			crashAtState,
		} = this.#faults;
		simulation.faults.lostResponseProbability = lostResponseProbability;
		simulation.faults.duplicateResponseProbability = duplicateResponseProbability;
		this.#repeat(crashIntervalMs, () => {
			this.crashLeaseHolder();
		});
		this.#repeat(pauseIntervalMs, () => {
			for (const plannerProcess of simulation.planners.values()) {
				plannerProcess.pausedUntil = plannerProcess.planner.lease.type === 'held' ? simulation.now + pauseMs : plannerProcess.pausedUntil;
			}
		});
		this.#repeat(storeOutageIntervalMs, () => {
			simulation.faults.storeDown = true;
			simulation.schedule(simulation.now + outageMs, () => {
				simulation.faults.storeDown = false;
			});
		});
		this.#repeat(listOutageIntervalMs, () => {
			simulation.faults.listFrozen = true;
			simulation.schedule(simulation.now + (2 * outageMs), () => {
				simulation.faults.listFrozen = false;
			});
		});
		this.#repeat(zoneWithdrawalIntervalMs, () => {
			simulation.setWithdrawn(new Set(['zone-1']));
			simulation.schedule(simulation.now + withdrawalMs, () => {
				simulation.setWithdrawn(new Set());
			});
		});
		this.#repeat(failuresPerDay > 0 ? msPerDay / failuresPerDay : undefined, () => {
			this.#failRandomInstance();
		});
		this.#repeat(operators ? stepMs : undefined, () => {
			this.#runConcurrentCommands();
		});
		simulation.onRecordWritten = (id, record) => {
			if (record?.state === 'suspect') {
				// The platform removes an instance after the planner has reported it as suspect.
				simulation.schedule(simulation.now + repairMs, () => {
					this.#pools.remove(id);
				});
			}

			if (crashAtState !== undefined && record?.state === crashAtState && simulation.random() < 0.5) {
				simulation.schedule(simulation.now, () => {
					this.crashLeaseHolder();
				});
			}
		};
	}

	#repeat(intervalMs: number | undefined, run: () => void): void {
		if (intervalMs !== undefined) {
			this.simulation.schedule(this.simulation.now + intervalMs, () => {
				run();
				this.#repeat(intervalMs, run);
			});
		}
	}

	#failRandomInstance(): void {
		const {simulation} = this;
		const ids = [...this.#pools.instances.keys()];
		const id = ids[Math.floor(simulation.random() * ids.length)] ?? '';
		if (!simulation.downSince.has(id) && simulation.records.get(id)?.state === 'in-service') {
			this.#pools.setDown(id, true);
			simulation.downSince.set(id, simulation.now);
			simulation.schedule(simulation.now + repairMs, () => {
				this.#pools.setDown(id, false);
				simulation.downSince.delete(id);
			});
		}
	}

	/** Two operators write on the basis of the same revision; the second write must be refused as a conflict. */
	#runConcurrentCommands(): void {
		const {store} = this.simulation;
		const entry = store.entries.get(planKey);
		if (entry === undefined) {
			return;
		}

		const seen = {value: planRecordSchema.parse(JSON.parse(entry.value)), revision: entry.modRevision};
		const commands: PlanCommand[] = seen.value.status === 'paused' ? ['resume', 'pause'] : ['pause', 'resume'];
		for (const command of commands) {
			const prepared = preparePlanCommand(seen, command, {key: planKey, revision: seen.revision});
			if (prepared.ok && !store.transact(prepared.transaction).succeeded) {
				this.conflicts += 1;
			}
		}
	}
}

/**
 * Simulates the roll-out of a plan over 40 instances in 5 pools under faults, on virtual time.
 *
 * @param faults - the faults
 * @returns whether the roll-out ended, its duration in hours, and the violations of budgets and pools
 * @example
 * const {ended, budgetViolations} = runFaults({seed: 1, lostResponseProbability: 0.2, planners: 2});
 */
export function runFaults(faults: FaultCase): FaultResult {
	const {seed, planners = 1, faultyInstances = false} = faults;
	const {fleet, pools} = createPools(seed, faultyInstances);
	const simulation = new PlannerSimulation({
		seed, utcMs: startsAt - msPerHour, rules: fleet.rules, pools, settings: {stepMs, rebootMs: 300_000, missingRetentionMs: stepMs},
	});
	const run = new FaultRun(faults, simulation, pools);
	for (let index = 0; index < planners; index++) {
		run.addPlanner();
	}

	simulation.run(msPerHour);
	const {plan} = createPlan(simulation.records, {
		id: 'plan-1', utcMs: simulation.utcMs, pools: fleet.rules, sparePools: fleet.sparePools, weights: {buffer: 1, rollOutTime: 20, moves: 20}, stepMs,
	});
	simulation.store.put(planKey, JSON.stringify(plan));
	run.start();
	const startedAt = simulation.now;
	let checkedAt = startedAt;
	const isRollOutEnded = (): boolean => [...simulation.records.values()].every(record => record.state === 'suspect'
		|| (record.state === 'in-service' && record.home === undefined && record.maintainedAt >= plan.createdAt));
	const ended = simulation.run(startedAt + maximumRollOutMs, () => {
		const due = simulation.now >= checkedAt + stepMs;
		checkedAt = due ? simulation.now : checkedAt;
		return due && isRollOutEnded();
	});
	return {
		ended,
		hours: (simulation.now - startedAt) / msPerHour,
		budgetViolations: simulation.budgetViolations,
		unseenOverruns: simulation.unseenOverruns,
		poolViolations: simulation.poolViolations,
		suspects: new Set(simulation.reports.filter(({report}) => report === 'instance-suspect').map(({subject}) => subject)).size,
		conflicts: run.conflicts,
		crashes: run.crashes,
		moves: pools.effects.move,
		reboots: pools.effects.reboot,
	};
}
