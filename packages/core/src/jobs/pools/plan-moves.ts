import {takeoverSettlingMs} from '../state/constants.js';
import {getIncarnation} from '../runs/get-incarnation.js';
import {type ListedInstance} from '../state/instance.js';
import {isUpkeepInProgress} from '../waves/is-upkeep-in-progress.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type PoolLoad, type Scheduler, type Worker} from '../state/scheduler.js';
import {planDrains} from './plan-drains.js';
import {measureTimelyNeed} from './measure-timely-need.js';
import {measurePools} from './measure-pools.js';
import {type MeasuredPool} from './measured-pools.js';
import {type Reserve, measureReserves} from './measure-reserves.js';
import {planPools} from './plan-pools.js';
import {findWorkerOfInstance} from './find-worker-of-instance.js';

/** Interval between two plans; a move takes more than a second. */
const planIntervalMs = 150;

/** Time after which an unanswered request for a move is repeated. */
const moveRetryMs = 1700;

/** Time after which an accepted move that no list of instances has confirmed is dropped. */
const moveConfirmationTimeoutMs = 6000;

/** Longest time for which the burst of a pool leaves capacity for more urgent queues; a longer one is no turn, and would keep the capacity unused. */
const longestTurnMs = 10_000;

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

	const reserves = measureReserves(scheduler, [...pools.keys()], now);
	const plan = planPools({
		pools: [...pools.values()].map(pool => measurePool(context, pool, reserves.get(pool.name))),
		spare: [...scheduler.instances.values()]
			.filter(instance => sparePools.has(instance.pool) && isMovable(context, instance))
			.map(({id, capacity: {cpuMillis}}) => ({id, cpuMillis, idleMs: 0})),
		sparePool,
	}, {ranksByPriority: scheduler.poolPolicy.learnsShape});
	const drained = planDrains(context, {pools, shortages: plan.timelyShortages, isMovable: worker => isOnMovableInstance(context, worker) && !plan.moves.some(({instance}) => instance === worker.listing?.instance)});
	for (const move of [...plan.moves, ...drained]) {
		const instance = scheduler.instances.get(move.instance);
		if (instance !== undefined && !scheduler.moves.has(instance.id)) {
			requestMove(context, instance, move.pool);
		}
	}
}

/** Gathers what the plan needs to know of a pool. */
function measurePool(context: ReducerContext, pool: PoolLoad, reserve: Reserve | undefined): MeasuredPool {
	const {scheduler, now} = context;
	const {name, workers, capacity, priority, unmetLongRunningNeeds} = pool;
	const incoming = [...scheduler.moves.values()].filter(move => move.pool === name).map(({instance}) => scheduler.instances.get(instance)?.capacity.cpuMillis ?? 0);
	const incomingMillis = incoming.reduce((sum, cpuMillis) => sum + cpuMillis, 0);
	const burst = scheduler.burstPattern.pools.get(name);
	return {
		name,
		priority,
		size: workers.length,
		capacity,
		incoming: {count: incoming.length, cpuMillis: incomingMillis},
		need: measureTarget(pool),
		timelyNeed: measureTimelyNeed(pool),
		isBlocked: unmetLongRunningNeeds > 0,
		kept: reserve?.kept ?? 1,
		prepared: reserve?.prepared ?? 0,
		heldBack: burst?.isActive ? 0 : Math.max(0, (reserve?.nextHeight ?? 0) - capacity - incomingMillis),
		ignoresHeldBack: burst === undefined || now - burst.startedAt > longestTurnMs,
		returnMs: getIdleReturnTime(scheduler, name),
		directMoveMs: scheduler.poolPolicy.directMoveIdleMs,
		idle: workers
			.filter(worker => worker.tasks.size === 0 && !worker.cordoned && worker.acknowledgedOwner && isOnMovableInstance(context, worker))
			.map(({listing, idleSince}) => ({id: listing?.instance ?? '', cpuMillis: listing?.capacity.cpuMillis ?? 0, idleMs: now - idleSince})),
	};
}

/** Repeats unanswered requests, and drops moves that the list of instances has confirmed. */
function updateMoves(context: ReducerContext): void {
	const {scheduler, now} = context;
	for (const move of scheduler.moves.values()) {
		const listed = scheduler.instances.get(move.instance);
		const isConfirmed = listed?.pool === move.pool && listed.state === 'up' && scheduler.instanceListRequestedAt > move.acceptedAt;
		if (listed === undefined || (move.state === 'moving' && (isConfirmed || now - move.acceptedAt > moveConfirmationTimeoutMs))) {
			scheduler.moves.delete(move.instance);
		} else if (move.state === 'requested' && now - move.requestedAt > moveRetryMs) {
			move.requestedAt = now;
			context.effects.push({type: 'move', instance: move.instance, pool: move.pool});
		}
	}
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
function getIdleReturnTime({poolPolicy, burstPattern}: Scheduler, pool: string): number {
	return burstPattern.pools.get(pool)?.isActive === false ? poolPolicy.endedIdleReturnMs : poolPolicy.idleReturnMs;
}

function requestMove(context: ReducerContext, instance: ListedInstance, pool: string): void {
	const {scheduler, now} = context;
	const worker = findWorkerOfInstance(scheduler, instance.id);
	if (worker !== undefined) {
		worker.cordoned = true;
	}

	scheduler.moves.set(instance.id, {
		instance: instance.id, pool, incarnation: getIncarnation(worker), state: 'requested', requestedAt: now, acceptedAt: 0,
	});
	context.effects.push({type: 'move', instance: instance.id, pool}, {
		type: 'log', level: 'info', event: 'move-asked', fields: {
			instance: instance.id, from: instance.pool, to: pool, idleMs: worker === undefined ? undefined : Math.round(now - worker.idleSince),
		},
	});
}
