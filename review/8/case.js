/* eslint-disable camelcase -- the fields of the platform are in snake case */
/**
 * A worker crashes while it runs a sound task, is back soon, and the worker of the next run crashes as well.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {playCase} from '../stand-ins-2/fleet.js';

const id = '00000000000000a1';
const task = `${id}.0.0.0`;
const taskMs = 4000;
const crashAfterMs = 1500;
const downMs = 1500;

await playCase(import.meta.dirname, {processes: 3, services: [{name: 'planner', workers: 8}]}, async fleet => {
	const isAccepted = await fleet.submit('planner', id, {
		spec: JSON.stringify({ms: taskMs}), steps: [{
			count: 1, cpu: 2000, mem_mb: 512, estimated_ms: taskMs,
		}],
	});
	if (!isAccepted) {
		throw new Error('The job was not accepted');
	}

	for (let crash = 0; fleet.isTroubled && crash < 2; crash++) {
		const {worker} = await fleet.waitFor('a run at work', () => {
			const run = fleet.findRun(task);
			return run !== undefined && Date.now() - run.startedAt > crashAfterMs && run;
		}, 20_000);
		worker.crash();
		await delay(downMs);
		await worker.start();
	}

	const state = await fleet.waitFor('the end of the job', async () => {
		const {state} = await fleet.readState('planner', id);
		await delay(300);
		return (state === 'completed' || state === 'failed') && state;
	}, 40_000);
	const failedRuns = fleet.events.filter(({event, how}) => event === 'run-ended' && how === 'failed').length;
	return state === 'failed' && failedRuns === 0 ? [`LOST: accepted job ${id} is shown as failed, and no run of it has ended failed (max_attempts 3)`] : [];
});
