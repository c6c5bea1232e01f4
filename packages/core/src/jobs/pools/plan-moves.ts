import {instanceOrderTimeoutMs, takeoverSettlingMs} from '../state/constants.js';
import {getIncarnation} from '../runs/get-incarnation.js';
import {type ListedInstance} from '../state/instance.js';
import {isUpkeepInProgress} from '../waves/is-upkeep-in-progress.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type PoolLoad, type Scheduler, type Worker} from '../state/scheduler.js';
import {planDrains} from './plan-drains.js';
import {measureTimelyNeed} from './measure-timely-need.js';
import {measurePools} from './measure-pools.js';
import {measureReserves} from './measure-reserves.js';
import {judgeOccupancy} from './judge-occupancy.js';
import {groupWorkersByInstance} from './group-workers-by-instance.js';

/** Interval between two plans; a move takes more than a second. */
const planIntervalMs = 150;

/** Time after which an accepted move that no list of instances has confirmed is dropped. */
const moveConfirmationTimeoutMs = 6000;

/**
 * Plans moves of instances between pools. Pools whose backlog or forecast exceeds their capacity get instances from pools
 * with idle ones or from a spare pool; instances that stay idle return to the spare pool. Only instances without tasks move.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @example
 * planMoves(context);
 */
export function planMoves(context: ReducerContext): void {
	const {scheduler, now} = context;
	if (now < scheduler.movesDueAt || scheduler.instanceListRequestedAt < scheduler.tookOverAt + takeoverSettlingMs) {
		return;
	}

	scheduler.movesDueAt = now + planIntervalMs;
	const pools = measurePools(context);
	scheduler.poolLoads = pools;
	updateMoves(context);
	const sparePools = new Set(scheduler.configuration.pools.filter(({spare}) => spare).map(({name}) => name));
	const [sparePool] = sparePools;
	if (sparePool === undefined) {
		return;
	}

	const shortages = [...pools.values()]
		.map(pool => ({pool, shortage: measureShortage(context, pool), timelyShortage: measureTimelyShortage(context, pool)}))
		.filter(({shortage}) => shortage > 0)
		.toSorted((left, right) => right.timelyShortage - left.timelyShortage || right.shortage - left.shortage);
	const workersByInstance = groupWorkersByInstance(scheduler, now);
	const isEmpty = (instance: string): boolean => judgeOccupancy(workersByInstance.get(instance) ?? [], now) === 'empty';
	const surplusWorkers = listSurplusWorkers(context, pools).filter(({instance}) => isEmpty(instance));
	const spareInstances = [...scheduler.instances.values()].filter(instance => sparePools.has(instance.pool) && isMovable(context, instance) && isEmpty(instance.id));
	for (const {pool, shortage} of shortages) {
		requestInstances(context, {
			pool, shortage, surplusWorkers, spareInstances,
		});
	}

	fillReserves(context, {pools, surplusWorkers, spareInstances});
	const timelyShortages = new Map([...pools.values()].map(pool => [pool.name, measureTimelyShortage(context, pool)]));
	for (const drained of planDrains(context, {pools, shortages: timelyShortages, isMovable: worker => isOnMovableInstance(context, worker)})) {
		const instance = scheduler.instances.get(drained.instance);
		if (instance !== undefined) {
			requestMove(context, instance, drained.pool);
		}
	}

	for (const worker of surplusWorkers) {
		const instance = scheduler.instances.get(worker.listing?.instance ?? '');
		if (instance !== undefined && !scheduler.drains.has(instance.id) && now - worker.idleSince > getIdleReturnTime(scheduler, worker)) {
			requestMove(context, instance, sparePool);
		}
	}
}

/** Repeats unanswered requests, and drops moves that the list of instances has confirmed. */
function updateMoves(context: ReducerContext): void {
	const {scheduler, now} = context;
	for (const move of scheduler.moves.values()) {
		const listed = scheduler.instances.get(move.instance);
		const isConfirmed = listed?.pool === move.pool && listed.state === 'up' && scheduler.instanceListRequestedAt > move.acceptedAt;
		if (listed === undefined || (move.state === 'moving' && (isConfirmed || now - move.acceptedAt > moveConfirmationTimeoutMs))) {
			scheduler.moves.delete(move.instance);
		} else if (move.state === 'requested' && now - move.requestedAt > instanceOrderTimeoutMs) {
			move.requestedAt = now;
			context.effects.push({type: 'move', instance: move.instance, pool: move.pool});
		}
	}
}

/** Thousandths of a core that the long-running tasks and the timely jobs of a pool lack, net of instances that are moving to it. */
function measureTimelyShortage(context: ReducerContext, pool: PoolLoad): number {
	return measureTimelyNeed(pool) - pool.capacity - measureIncomingCapacity(context, pool);
}

function measureIncomingCapacity({scheduler}: ReducerContext, pool: PoolLoad): number {
	let incoming = 0;
	for (const move of scheduler.moves.values()) {
		if (move.pool === pool.name) {
			incoming += scheduler.instances.get(move.instance)?.capacity.cpuMillis ?? 0;
		}
	}

	return incoming;
}

/** Thousandths of a core that a pool lacks, net of instances that are moving to it. */
function measureShortage(context: ReducerContext, pool: PoolLoad): number {
	const incoming = measureIncomingCapacity(context, pool);
	const shortage = measureTarget(pool) - pool.capacity - incoming;
	return pool.unmetLongRunningNeeds > 0 && incoming === 0 ? Math.max(shortage, 1) : shortage;
}

/** Thousandths of a core that a pool should have: enough for running and waiting tasks, and for the forecast demand. */
function measureTarget({used, backlog, demand}: PoolLoad): number {
	return Math.max(used + backlog, demand.forecast);
}

function isMovable(context: ReducerContext, instance: ListedInstance): boolean {
	const {scheduler} = context;
	return instance.state === 'up'
		&& !scheduler.moves.has(instance.id)
		&& !scheduler.withdrawnZones.has(instance.availabilityZone)
		&& !isUpkeepInProgress(scheduler, instance.id);
}

function isOnMovableInstance(context: ReducerContext, {listing}: Worker): boolean {
	const instance = context.scheduler.instances.get(listing?.instance ?? '');
	return instance !== undefined && isMovable(context, instance);
}

/** Time in milliseconds after which an idle instance returns to the spare pool; shorter once the burst of its pool is over, because no gap between two jobs explains it. */
function getIdleReturnTime({poolPolicy, burstPattern}: Scheduler, {listing}: Worker): number {
	return burstPattern.pools.get(listing?.service ?? '')?.isActive === false ? poolPolicy.endedIdleReturnMs : poolPolicy.idleReturnMs;
}

/** Idle workers that their pools can spare, longest idle first. */
function listSurplusWorkers(context: ReducerContext, pools: ReadonlyMap<string, PoolLoad>): Worker[] {
	const {scheduler, now} = context;
	const reserves = measureReserves(scheduler, [...pools.keys()], now);
	const surplusWorkers: Worker[] = [];
	for (const pool of pools.values()) {
		const idle = pool.workers
			.filter(worker => worker.tasks.size === 0 && !worker.cordoned && worker.acknowledgedOwner && now - worker.idleSince > Math.min(scheduler.poolPolicy.directMoveIdleMs, getIdleReturnTime(scheduler, worker)))
			.filter(worker => isOnMovableInstance(context, worker))
			.toSorted((left, right) => left.idleSince - right.idleSince);
		let surplus = pool.capacity - measureTarget(pool);
		if (pool.unmetLongRunningNeeds > 0) {
			continue;
		}

		for (const worker of idle.slice(0, Math.max(0, pool.workers.length - (reserves.get(pool.name)?.kept ?? 1)))) {
			surplus -= worker.listing?.capacity.cpuMillis ?? 0;
			if (surplus < 0) {
				break;
			}

			surplusWorkers.push(worker);
		}
	}

	return surplusWorkers;
}

function requestInstances(context: ReducerContext, options: {pool: PoolLoad; shortage: number; surplusWorkers: Worker[]; spareInstances: ListedInstance[]}): void {
	const {pool, surplusWorkers, spareInstances} = options;
	let {shortage} = options;
	while (shortage > 0) {
		const index = surplusWorkers.findIndex(({listing}) => listing?.service !== pool.name);
		const [worker] = index === -1 ? [] : surplusWorkers.splice(index, 1);
		const instance = worker === undefined ? spareInstances.shift() : context.scheduler.instances.get(worker.listing?.instance ?? '');
		if (instance === undefined) {
			return;
		}

		requestMove(context, instance, pool.name);
		shortage -= instance.capacity.cpuMillis;
	}
}

/** Requests instances for pools that are expected to have the next burst; pools that lack instances now have got theirs before. */
function fillReserves(context: ReducerContext, options: {pools: ReadonlyMap<string, PoolLoad>; surplusWorkers: Worker[]; spareInstances: ListedInstance[]}): void {
	const {scheduler, now} = context;
	const {pools, surplusWorkers, spareInstances} = options;
	for (const [name, {prepared}] of measureReserves(scheduler, [...pools.keys()], now)) {
		const pool = pools.get(name);
		const missing = prepared - (pool?.workers.length ?? 0) - [...scheduler.moves.values()].filter(move => move.pool === name).length;
		if (pool !== undefined && missing > 0) {
			requestInstances(context, {
				pool, shortage: missing * (pool.workers[0]?.listing?.capacity.cpuMillis ?? 1), surplusWorkers, spareInstances,
			});
		}
	}
}

function requestMove(context: ReducerContext, instance: ListedInstance, pool: string): void {
	const {scheduler, now} = context;
	const workers = groupWorkersByInstance(scheduler, now).get(instance.id) ?? [];
	for (const worker of workers) {
		worker.cordoned = true;
	}

	const worker = workers.find(({listing}) => listing !== undefined) ?? workers[0];

	scheduler.moves.set(instance.id, {
		instance: instance.id, pool, incarnation: getIncarnation(worker), state: 'requested', requestedAt: now, acceptedAt: 0,
	});
	context.effects.push({type: 'move', instance: instance.id, pool}, {
		type: 'log', level: 'info', event: 'move-asked', fields: {
			instance: instance.id, from: instance.pool, to: pool, idleMs: worker === undefined ? undefined : Math.round(now - worker.idleSince),
		},
	});
}
