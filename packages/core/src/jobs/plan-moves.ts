import {takeoverSettlingMs} from './constants.js';
import {findWorkerOfInstance} from './find-worker-of-instance.js';
import {type ListedInstance} from './instance.js';
import {measurePools} from './measure-pool.js';
import {type Pass} from './pass.js';
import {type PoolLoad, type Worker} from './scheduler.js';

/** Interval between two plans; a move takes more than a second. */
const planIntervalMs = 150;

/** Time after which an instance that runs nothing goes back to the spare pool unless more work is forecast; jobs of a burst leave gaps of some hundred milliseconds. */
const idleLimitMs = 1000;

/** Time after which an idle instance may help another pool, which spares both a wait. */
const donorIdleMs = 500;

/** Part of an equal share of all instances that stays in each pool however little it has to do; a burst meets them first. */
const keptPart = 0.35;

/** An unanswered request to move is repeated after this time. */
const moveRetryMs = 1700;

/** A move that no list has confirmed by then is forgotten. */
const moveLimitMs = 6000;

/**
 * Plans moves of instances between pools: to where more work waits or is forecast than can be done in time, from the
 * spare pool or from pools with idle instances, and back to the spare pool when they stay idle. Only instances that run nothing move.
 *
 * @param pass - the pass; its state is changed and effects are added
 * @example
 * planMoves(pass);
 */
export function planMoves(pass: Pass): void {
	const {scheduler, now} = pass;
	if (now < scheduler.movesDueAt || scheduler.instancesAskedAt < scheduler.tookOverAt + takeoverSettlingMs) {
		return;
	}

	scheduler.movesDueAt = now + planIntervalMs;
	const pools = measurePools(pass);
	scheduler.poolLoads = pools;
	tendMoves(pass);
	const spares = new Set(scheduler.configuration.pools.filter(({spare}) => spare).map(({name}) => name));
	const [sparePool] = spares;
	if (sparePool === undefined) {
		return;
	}

	const shortages = [...pools.values()]
		.map(pool => ({pool, shortage: measureShortage(pass, pool)}))
		.filter(({shortage}) => shortage > 0)
		.toSorted((left, right) => right.shortage - left.shortage);
	const donors = listDonors(pass, pools);
	const reserve = [...scheduler.instances.values()].filter(instance => spares.has(instance.pool) && isMovable(pass, instance));
	for (const {pool, shortage} of shortages) {
		callIn(pass, {
			pool, shortage, donors, reserve,
		});
	}

	for (const worker of donors) {
		const instance = scheduler.instances.get(worker.listing?.instance ?? '');
		if (instance !== undefined && now - worker.idleSince > idleLimitMs) {
			askMove(pass, instance, sparePool);
		}
	}
}

/** Repeats requests without an answer, and forgets moves that the list has confirmed. */
function tendMoves(pass: Pass): void {
	const {scheduler, now} = pass;
	for (const move of scheduler.moves.values()) {
		const listed = scheduler.instances.get(move.instance);
		const isConfirmed = listed?.pool === move.pool && listed.state === 'up' && scheduler.instancesAskedAt > move.acceptedAt;
		if (listed === undefined || (move.state === 'moving' && (isConfirmed || now - move.acceptedAt > moveLimitMs))) {
			scheduler.moves.delete(move.instance);
		} else if (move.state === 'asking' && now - move.askedAt > moveRetryMs) {
			move.askedAt = now;
			pass.effects.push({type: 'move', instance: move.instance, pool: move.pool});
		}
	}
}

/** Thousandths of a core that a pool lacks beyond what is on its way to it. */
function measureShortage(pass: Pass, pool: PoolLoad): number {
	let coming = 0;
	for (const move of pass.scheduler.moves.values()) {
		if (move.pool === pool.service) {
			coming += pass.scheduler.instances.get(move.instance)?.capacity.cpuMillis ?? 0;
		}
	}

	const shortage = measureTarget(pool) - pool.capacity - coming;
	return pool.starving > 0 && coming === 0 ? Math.max(shortage, 1) : shortage;
}

/** Thousandths of a core that a pool should have: for what runs and waits, or for what is about to arrive. */
function measureTarget({used, wanted, demand}: PoolLoad): number {
	return Math.max(used + wanted, demand.forecast);
}

function isMovable(pass: Pass, instance: ListedInstance): boolean {
	const {scheduler} = pass;
	return instance.state === 'up'
		&& !scheduler.moves.has(instance.id)
		&& !scheduler.withdrawnZones.has(instance.availabilityZone)
		&& ![...scheduler.waves.values()].some(({upkeeps}) => {
			const state = upkeeps.get(instance.id)?.state;
			return state !== undefined && state !== 'waiting' && state !== 'done';
		});
}

/** Workers that run nothing and that their pools can do without, longest idle first. */
function listDonors(pass: Pass, pools: ReadonlyMap<string, PoolLoad>): Worker[] {
	const {scheduler, now} = pass;
	const kept = Math.max(1, Math.round((scheduler.instances.size / Math.max(1, pools.size)) * keptPart));
	const donors: Worker[] = [];
	for (const pool of pools.values()) {
		const idle = pool.workers
			.filter(worker => worker.members.size === 0 && !worker.cordoned && worker.confirmed && now - worker.idleSince > donorIdleMs)
			.filter(({listing}) => {
				const instance = scheduler.instances.get(listing?.instance ?? '');
				return instance !== undefined && isMovable(pass, instance);
			})
			.toSorted((left, right) => left.idleSince - right.idleSince);
		let surplus = pool.capacity - measureTarget(pool);
		if (pool.starving > 0) {
			continue;
		}

		for (const worker of idle.slice(0, Math.max(0, pool.workers.length - kept))) {
			surplus -= worker.listing?.capacity.cpuMillis ?? 0;
			if (surplus < 0) {
				break;
			}

			donors.push(worker);
		}
	}

	return donors;
}

function callIn(pass: Pass, options: {pool: PoolLoad; shortage: number; donors: Worker[]; reserve: ListedInstance[]}): void {
	const {pool, donors, reserve} = options;
	let {shortage} = options;
	while (shortage > 0) {
		const donor = donors.findIndex(({listing}) => listing?.service !== pool.service);
		const [worker] = donor === -1 ? [] : donors.splice(donor, 1);
		const instance = worker === undefined ? reserve.shift() : pass.scheduler.instances.get(worker.listing?.instance ?? '');
		if (instance === undefined) {
			return;
		}

		askMove(pass, instance, pool.service);
		shortage -= instance.capacity.cpuMillis;
	}
}

function askMove(pass: Pass, instance: ListedInstance, pool: string): void {
	const {scheduler, now} = pass;
	const worker = findWorkerOfInstance(scheduler, instance.id);
	if (worker !== undefined) {
		worker.cordoned = true;
	}

	scheduler.moves.set(instance.id, {
		instance: instance.id, pool, state: 'asking', askedAt: now, acceptedAt: 0,
	});
	pass.effects.push({type: 'move', instance: instance.id, pool}, {
		type: 'log', level: 'info', event: 'move-asked', fields: {
			instance: instance.id, from: instance.pool, to: pool, idleMs: worker === undefined ? undefined : Math.round(now - worker.idleSince),
		},
	});
}
