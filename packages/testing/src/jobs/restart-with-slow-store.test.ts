import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel, type ModelledOwner} from './fleet-model.js';

const workerCount = 8;

/** Workers restart under their ids while the store takes 400 ms to confirm the ends of their earlier incarnations. */
function simulateRestarts(seed: number): FleetModel {
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(workerCount)});
	const dispatch = fleet.dispatch.bind(fleet);
	fleet.dispatch = (event: SchedulerEvent, owner?: ModelledOwner) => {
		fleet.at(fleet.now + (event.type === 'committed' ? 400 : 0), () => {
			dispatch(event, owner);
		});
	};

	fleet.takeOver();
	for (let at = 0; at < 12_000; at += 50) {
		fleet.at(at, () => {
			fleet.submit(createJob(`j${at}`, {acceptedAtMs: at, steps: [{count: 4, cpuMillis: 2000, estimatedMs: 150}]}));
		});
	}

	for (let at = 1000; at < 12_000; at += 250) {
		fleet.at(at, () => {
			fleet.restartWorker(`w${fleet.draw(1, workerCount)}`, fleet.draw(1, 100));
		});
	}

	fleet.runUntil(40_000);
	return fleet;
}

describe('workers that restart under their ids while the ends of their earlier incarnations are being stored', () => {
	it('guards against an acknowledgement that makes the next incarnation forget its own ends', () => {
		const violations: string[] = [];
		for (let seed = 1; seed <= 40; seed++) {
			violations.push(...simulateRestarts(seed).checker.violations.map(violation => `seed ${seed}: ${violation}`));
		}

		assert.deepEqual(violations, []);
	});
});
