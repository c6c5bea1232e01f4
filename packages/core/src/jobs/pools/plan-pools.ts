import {
	type MeasuredPool, type MeasuredPools, type MovableInstance, type PoolPlan,
} from './measured-pools.js';

type Surplus = MovableInstance & {readonly pool: string; readonly returnMs: number};
type Request = {readonly pool: MeasuredPool; readonly shortage: number};

/**
 * Plans the moves between all pools for the time that a move takes. When instances do not suffice for all pools, timely work
 * of urgent queues comes first, then timely work of the others, then late work. Idle instances of other pools are moved
 * directly before those of the spare pool.
 *
 * @param measured - load of the pools, their idle instances and the instances in the spare pool
 * @param options - `ranksByPriority`: false to serve the pool with the largest timely shortage first and to leave nothing for urgent queues
 * @returns the moves and what is still lacking
 * @example
 * planPools({pools, spare, sparePool: 'reserve'}).moves;
 */
export function planPools(measured: MeasuredPools, options: {ranksByPriority?: boolean} = {}): PoolPlan {
	const {ranksByPriority = true} = options;
	const {pools, sparePool} = measured;
	const available: Array<Surplus | MovableInstance> = [...pools.flatMap(pool => listSurplus(pool)), ...measured.spare];
	const moves: Array<{instance: string; pool: string}> = [];
	const granted = new Map<string, number>();
	const grant = ({pool, shortage}: Request): void => {
		const reserved = ranksByPriority && !pool.ignoresHeldBack ? Math.max(0, ...pools.filter(({priority}) => priority < pool.priority).map(({heldBack}) => heldBack)) : 0;
		let free = sumCapacity(available) - reserved;
		let missing = shortage - (granted.get(pool.name) ?? 0);
		while (missing > 0 && free > 0) {
			const index = available.findIndex(instance => !('pool' in instance) || instance.pool !== pool.name);
			const [instance] = index === -1 ? [] : available.splice(index, 1);
			if (instance === undefined) {
				return;
			}

			moves.push({instance: instance.id, pool: pool.name});
			granted.set(pool.name, (granted.get(pool.name) ?? 0) + instance.cpuMillis);
			missing -= instance.cpuMillis;
			free -= instance.cpuMillis;
		}
	};

	for (const request of listRequests(pools, ranksByPriority)) {
		grant(request);
	}

	for (const pool of pools) {
		const count = pool.prepared - pool.size - pool.incoming.count;
		const cpuMillis = pool.size === 0 ? 1 : pool.capacity / pool.size;
		grant({pool, shortage: count <= 0 ? 0 : (granted.get(pool.name) ?? 0) + (count * cpuMillis)});
	}

	for (const instance of available) {
		if ('pool' in instance && instance.idleMs > instance.returnMs) {
			moves.push({instance: instance.id, pool: sparePool});
		}
	}

	const timelyShortages = new Map(pools.map(({name, timelyNeed, capacity, incoming}) => [name, timelyNeed - capacity - incoming.cpuMillis - (granted.get(name) ?? 0)]));
	return {moves, timelyShortages};
}

function sumCapacity(instances: ReadonlyArray<{readonly cpuMillis: number}>): number {
	return instances.reduce((sum, {cpuMillis}) => sum + cpuMillis, 0);
}

/** What the pools lack, in the order in which they are served; a pool with late work comes twice, first with its timely shortage. */
function listRequests(pools: readonly MeasuredPool[], ranksByPriority: boolean): Request[] {
	const lacking = pools
		.map(pool => ({pool, shortage: measureShortage(pool), timelyShortage: pool.timelyNeed - pool.capacity - pool.incoming.cpuMillis}))
		.filter(({shortage}) => shortage > 0)
		.toSorted((left, right) => (ranksByPriority ? left.pool.priority - right.pool.priority : 0) || right.timelyShortage - left.timelyShortage || right.shortage - left.shortage);
	const timely = ranksByPriority ? lacking.map(({pool, timelyShortage}) => ({pool, shortage: timelyShortage})) : [];
	return [...timely, ...lacking];
}

function measureShortage({need, capacity, incoming, isBlocked}: MeasuredPool): number {
	const shortage = need - capacity - incoming.cpuMillis;
	return isBlocked && incoming.count === 0 ? Math.max(shortage, 1) : shortage;
}

/** Idle instances that a pool can spare, longest idle first. */
function listSurplus({name, isBlocked, idle, size, kept, capacity, need, returnMs, directMoveMs}: MeasuredPool): Surplus[] {
	if (isBlocked) {
		return [];
	}

	const surplus: Surplus[] = [];
	let excess = capacity - need;
	const candidates = idle.filter(({idleMs}) => idleMs > Math.min(directMoveMs, returnMs)).toSorted((left, right) => right.idleMs - left.idleMs);
	for (const instance of candidates.slice(0, Math.max(0, size - kept))) {
		excess -= instance.cpuMillis;
		if (excess < 0) {
			break;
		}

		surplus.push({...instance, pool: name, returnMs});
	}

	return surplus;
}
