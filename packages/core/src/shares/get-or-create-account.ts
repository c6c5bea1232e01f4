import {type Account, type PoolShares} from './shares.js';

/**
 * Gets a team's account in a pool and creates it if it is missing.
 *
 * @param pool - the pool's queues and shares, updated in place
 * @param team - name of the team
 * @returns the account
 * @example
 * getOrCreateAccount(pool, task.team).running += 1;
 */
export function getOrCreateAccount(pool: PoolShares, team: string): Account {
	let account = pool.accounts.get(team);
	if (account === undefined) {
		account = {
			running: 0, runningUrgent: 0, queued: 0, localShare: 0, localUrgentShare: 0, urgentWithinShare: false, credit: 0,
		};
		pool.accounts.set(team, account);
	}

	return account;
}
