import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {createConfiguration, createWorkers} from './create-fleet.js';

const events: SchedulerEvent[] = [
	{
		type: 'start-answered', worker: 'w1', task: 'a.0.0.0', run: 1, answer: {outcome: 'fenced'},
	},
	{
		type: 'stop-answered', worker: 'w1', task: 'a.0.0.0', run: 1, answer: {outcome: 'fenced'},
	},
	{type: 'report-failed', worker: 'w1', outcome: 'fenced'},
	{
		type: 'move-answered', instance: 'm1', pool: 'planner', outcome: 'fenced',
	},
	{
		type: 'upkeep-answered', wave: 1, instance: 'm1', outcome: 'fenced',
	},
];

describe('orders that are refused because a later owner has been seen', () => {
	for (const event of events) {
		it(`guards against an owner that goes on ordering after ${event.type}, whether or not the order is still known`, () => {
			const scheduler = createScheduler({term: 1, now: 0, configuration: createConfiguration()});
			for (const worker of createWorkers(1)) {
				reduceScheduler(scheduler, {type: 'worker-listed', worker}, {now: 0, timeOfDay: 0});
			}

			const effects = reduceScheduler(scheduler, event, {now: 10, timeOfDay: 10});
			assert.ok(effects.some(({type}) => type === 'step-down'));
		});
	}
});
