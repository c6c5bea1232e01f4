import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	defaultPoolPolicy, formerPoolPolicy, orderedPoolPolicy, type PoolPolicy,
} from '@rosemaryquay/core/jobs/pools/pool-policy';
import {type FleetModel} from './fleet-model.js';
import {type PoolTurnsResult, simulatePoolTurns, turnMs} from './simulate-pool-turns.js';

/** Turns in an order that does not repeat. */
const irregularOrder = ['quick-a', 'large-b', 'quick-a', 'quick-b', 'large-a', 'large-b', 'quick-a'] as const;

const loads = {
	'regular turns': {},
	'turns without an order': {getTurn: (sinceStartMs: number) => irregularOrder[Math.floor(sinceStartMs / turnMs) % irregularOrder.length]},
	'long-running jobs beside regular turns': {longRunningJobs: 6},
	'a takeover amid the moves at the start of a burst': {
		prepare(fleet: FleetModel) {
			const killedAtMs = 17_000;
			fleet.at(killedAtMs, () => {
				fleet.killOwner();
			});
			fleet.at(killedAtMs + 1000, () => {
				fleet.takeOver();
			});
		},
	},
};

describe('planning from the learned shape of bursts, compared with equal minimum sizes and with their learned order alone', () => {
	for (const [name, load] of Object.entries(loads)) {
		it(`guards against saving instance time at the expense of callers, with ${name}`, context => {
			const simulate = (policy: PoolPolicy): Omit<PoolTurnsResult, 'fleet'> => {
				const {fleet, ...result} = simulatePoolTurns({seed: 1, policy, ...load});
				assert.deepEqual(fleet.checker.violations, []);
				return result;
			};

			const present = simulate(defaultPoolPolicy);
			context.diagnostic(`present ${JSON.stringify(present)}`);
			for (const [title, policy] of Object.entries({'equal sizes': formerPoolPolicy, 'learned order': orderedPoolPolicy})) {
				const former = simulate(policy);
				context.diagnostic(`${title} ${JSON.stringify(former)}`);
				assert.ok(present.inTime >= former.inTime, `${present.inTime} of ${present.jobs} jobs in time, with ${title} ${former.inTime}`);
				assert.ok(present.seconds.total < former.seconds.total, `${present.seconds.total} instance-seconds, with ${title} ${former.seconds.total}`);
				// Equal sizes need fewer moves, because instances that stay are idle instead.
				assert.ok(policy === formerPoolPolicy || present.moves <= former.moves, `${present.moves} moves, with ${title} ${former.moves}`);
			}
		});
	}
});
