import {creditHorizonMs, urgentDebt} from '../constants.js';
import {type WorkClass} from '../catalogue/schema.js';
import {type PoolShares} from './shares.js';

/**
 * Tells whether a team's share and the urgent reserve let one more of its tasks start.
 *
 * @param pool - the pool's queues and shares
 * @param team - name of the team
 * @param workClass - class of the task; bulk tasks leave the urgent reserve free
 * @returns whether the task may start
 * @example
 * if (mayStart(pool, flow.team, flow.class)) start(flow.tasks[0]);
 */
export function mayStart(pool: PoolShares, team: string, workClass: WorkClass): boolean {
	const account = pool.accounts.get(team);
	if (account === undefined) {
		return false;
	}

	if (workClass === 'bulk') {
		let running = pool.runningElsewhere;
		for (const {running: own} of pool.accounts.values()) {
			running += own;
		}

		if (running >= pool.capacity - pool.reserve) {
			return false;
		}
	}

	if (!pool.full) {
		return true;
	}

	// The team's other work gives way to its urgent work: its parts shrink by the urgent demand.
	if (workClass === 'urgent' && account.urgentWithin) {
		return true;
	}

	// Debts of the team's other work hold urgent work back by a fraction of a slot only.
	if (workClass === 'urgent' && account.urgent + 0.5 < account.urgentPart + Math.max(account.credit / creditHorizonMs, -urgentDebt)) {
		return true;
	}

	// Rounding to the nearest whole slot; the credit makes up for the remainder over time.
	return account.running + 0.5 < account.part + (account.credit / creditHorizonMs);
}
