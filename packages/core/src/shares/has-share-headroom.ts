import {creditHorizonMs, maximumUrgentDebtSlots} from '../constants.js';
import {type WorkClass} from '../catalogue/schema.js';
import {type PoolShares} from './shares.js';

/**
 * Tells whether a team's share and the slots reserved for urgent tasks let one more of its tasks start.
 *
 * @param pool - the pool's queues and shares
 * @param team - name of the team
 * @param workClass - class of the task; bulk tasks leave the reserved slots free
 * @returns whether the task may start
 * @example
 * if (hasShareHeadroom(pool, flow.team, flow.class)) start(flow.tasks[0]);
 */
export function hasShareHeadroom(pool: PoolShares, team: string, workClass: WorkClass): boolean {
	const account = pool.accounts.get(team);
	if (account === undefined) {
		return false;
	}

	if (workClass === 'bulk') {
		let running = pool.remoteRunning;
		for (const {running: own} of pool.accounts.values()) {
			running += own;
		}

		if (running >= pool.capacity - pool.reservedSlots) {
			return false;
		}
	}

	if (!pool.saturated) {
		return true;
	}

	// Urgent demand within the team's share always starts. The team's other work gets what is left, as its local share shrinks by that demand.
	if (workClass === 'urgent' && account.urgentWithinShare) {
		return true;
	}

	// Adding half a slot rounds the share to the nearest whole slot. `credit / creditHorizonMs` is the credit in slots, which
	// compensates for the remainder over time. A debt from the team's other work holds back at most `maximumUrgentDebtSlots` urgent slots.
	if (workClass === 'urgent' && account.runningUrgent + 0.5 < account.localUrgentShare + Math.max(account.credit / creditHorizonMs, -maximumUrgentDebtSlots)) {
		return true;
	}

	return account.running + 0.5 < account.localShare + (account.credit / creditHorizonMs);
}
