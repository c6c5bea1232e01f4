import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Number of orders in a thousand that are carried out 2 to 12 s late without an answer, or whose answer is lost. */
const faultsPerThousand = 200;

function simulateUnansweredOrders(seed: number, fault: 'lateOrdersPerThousand' | 'lostAnswersPerThousand'): FleetModel {
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(8)});
	fleet[fault] = faultsPerThousand;
	fleet.takeOver();
	for (let at = 0; at < 12_000; at += 150) {
		fleet.at(at, () => {
			fleet.submit(createJob(`j${at}`, {
				acceptedAtMs: at, steps: [{count: 4, cpuMillis: 2000, estimatedMs: 400}, {
					count: 2, cpuMillis: 2000, estimatedMs: 300, after: [0],
				}],
			}));
		});
	}

	fleet.at(5000 + (seed * 13), () => {
		fleet.killOwner();
	});
	fleet.at(7400 + (seed * 13), () => {
		fleet.takeOver();
	});
	fleet.at(14_000, () => {
		fleet[fault] = 0;
	});
	fleet.runUntil(60_000);
	return fleet;
}

describe('orders without an answer, across a change of owner', () => {
	for (const fault of ['lateOrdersPerThousand', 'lostAnswersPerThousand'] as const) {
		it(`guards against a second run of a task whose start was not acknowledged: ${fault}`, () => {
			for (let seed = 1; seed <= 40; seed++) {
				const fleet = simulateUnansweredOrders(seed, fault);
				assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
				assert.deepEqual(fleet.unfinishedJobs, [], `seed ${seed}`);
			}
		});
	}
});
