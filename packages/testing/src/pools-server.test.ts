import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ActionName, type ActionState} from '@rosemaryquay/core/maintenance/planner';
import {HttpInstanceActions} from '@rosemaryquay/platform/instance-actions';
import {PoolsModel, type InstanceFault} from './pools-model.js';
import {PoolsServer, type PoolsFaults} from './pools-server.js';

type Case = {
	readonly name: string;
	readonly faults?: Partial<PoolsFaults>;
	readonly instanceFault?: InstanceFault;
	readonly instance?: string;
	readonly calls: ReadonlyArray<readonly [action: ActionName | 'read', generation: number, expected: ActionState]>;
	/** Drains and reboots that took effect. */
	readonly effects: readonly [drains: number, reboots: number];
};

// Guards against an action that takes effect twice, and against a result taken from a lost answer or from that of another action.
const cases: readonly Case[] = [
	{name: 'performs', calls: [['drain', 1, 'done'], ['read', 1, 'done']], effects: [1, 0]},
	{name: 'repeats without effect', calls: [['drain', 1, 'done'], ['drain', 1, 'done']], effects: [1, 0]},
	{name: 'refuses an older generation', calls: [['reboot', 2, 'done'], ['drain', 1, 'superseded']], effects: [0, 1]},
	{name: 'reads a generation that it has not seen', calls: [['read', 1, 'absent']], effects: [0, 0]},
	{
		name: 'down', faults: {down: true}, calls: [['drain', 1, 'unknown'], ['read', 1, 'unknown']], effects: [0, 0],
	},
	{
		name: 'slow', faults: {delayMs: 600}, calls: [['drain', 1, 'unknown']], effects: [1, 0],
	},
	{
		name: 'answer lost after the effect', faults: {loseAnswers: 1}, calls: [['drain', 1, 'unknown'], ['read', 1, 'done']], effects: [1, 0],
	},
	{
		name: 'duplicated', faults: {duplicate: true}, calls: [['drain', 1, 'done'], ['reboot', 2, 'done']], effects: [1, 1],
	},
	{
		name: 'answer of another generation', faults: {mismatchAnswers: true}, calls: [['drain', 1, 'unknown']], effects: [1, 0],
	},
	{
		name: 'never comes back', instanceFault: 'never-returns', calls: [['reboot', 1, 'running'], ['read', 1, 'running']], effects: [0, 1],
	},
	{
		name: 'fails after reboot', instanceFault: 'fails-after-reboot', calls: [['reboot', 1, 'failed'], ['reboot', 2, 'failed']], effects: [0, 2],
	},
	{
		name: 'unknown instance', instance: 'none', calls: [['drain', 1, 'failed']], effects: [0, 0],
	},
];

for (const {
	name, faults = {}, instanceFault, instance = 'web/1', calls, effects,
} of cases) {
	test(`pool actions: ${name}`, async () => {
		const model = new PoolsModel();
		const added = model.add({
			id: 'web/1', zone: 'z', rack: 'r', pool: 'web',
		});
		if (instanceFault !== undefined) {
			added.fault = instanceFault;
		}

		const server = new PoolsServer({model});
		await server.start();
		Object.assign(server.faults, faults);
		const client = new HttpInstanceActions({url: server.url, timeoutMs: 300});
		try {
			for (const [action, generation, expected] of calls) {
				const state = action === 'read' ? await client.readAction(instance, generation) : await client.perform(instance, action, {generation});
				assert.equal(state, expected);
			}

			assert.deepEqual([model.effects.drain, model.effects.reboot], effects);
		} finally {
			await client.close();
			await server.stop();
		}
	});
}
