import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {defaultPoolPolicy, formerPoolPolicy} from '@rosemaryquay/core/jobs/pools/pool-policy';
import {type FleetModel} from './fleet-model.js';
import {simulatePoolTurns, turnMs} from './simulate-pool-turns.js';

/** Turns in an order that does not repeat. */
const irregularOrder = ['quick-a', 'large-b', 'quick-a', 'quick-b', 'large-a', 'large-b', 'quick-a'] as const;

const loads = {
	'regular turns': {},
	'turns without an order': {getTurn: (sinceStartMs: number) => irregularOrder[Math.floor(sinceStartMs / turnMs) % irregularOrder.length]},
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

describe('planning from learned bursts, compared with equal minimum sizes', () => {
	for (const [name, load] of Object.entries(loads)) {
		it(`guards against saving instance time at the expense of callers, with ${name}`, context => {
			const [former, present] = [formerPoolPolicy, defaultPoolPolicy].map(policy => {
				const {fleet, ...result} = simulatePoolTurns({seed: 1, policy, ...load});
				assert.deepEqual(fleet.checker.violations, []);
				return result;
			});
			assert.ok(former && present);
			context.diagnostic(`former ${JSON.stringify(former)}`);
			context.diagnostic(`present ${JSON.stringify(present)}`);
			assert.ok(present.inTime >= former.inTime, `${present.inTime} of ${present.jobs} jobs in time, formerly ${former.inTime}`);
			assert.ok(present.seconds.total < former.seconds.total, `${present.seconds.total} instance-seconds, formerly ${former.seconds.total}`);
		});
	}
});
