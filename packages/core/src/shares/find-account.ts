import {type Account, type PoolShares} from './shares.js';

/**
 * Finds a team's account in a pool, and creates it when it is missing.
 *
 * @param pool - the pool's queues and shares, updated in place
 * @param team - name of the team
 * @returns the account
 * @example
 * findAccount(pool, task.team).running += 1;
 */
export function findAccount(pool: PoolShares, team: string): Account {
	let account = pool.accounts.get(team);
	if (account === undefined) {
		account = {
			running: 0, urgent: 0, queued: 0, part: 0, urgentPart: 0, urgentWithin: false, credit: 0,
		};
		pool.accounts.set(team, account);
	}

	return account;
}
