/* eslint-disable camelcase -- the fields of the platform are in snake case */
/**
 * The store is down for a few seconds during a wave of upkeep, and the entries of some workers expire meanwhile.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {playCase} from '../stand-ins-2/fleet.js';

const id = '00000000000000c1';
const taskCount = 8;
const mayMiss = 1;
const outageMs = 3450;
const watchMs = 8000;

await playCase(import.meta.dirname, {processes: 3, services: [{name: 'planner', workers: 8}]}, async fleet => {
	const step = {
		count: taskCount, cpu: 2000, mem_mb: 512, estimated_ms: 1000, long_running: true, anti_affinity: 1, may_miss: mayMiss,
	};
	if (!await fleet.submit('planner', id, {spec: '{"lasts":true}', steps: [step]})) {
		throw new Error('The job was not accepted');
	}

	const tasks = Array.from({length: taskCount}, (_, index) => `${id}.0.0.${index}`);
	await fleet.waitFor('all tasks at work', () => tasks.every(task => fleet.findRun(task) !== undefined), 20_000);
	await delay(4000);
	fleet.store.put('op/wave/1', {
		wave: 1, machines: fleet.workers.slice(0, 3).map(({machine}) => machine), duration_s: 26, max_count: 2,
	});
	await delay(1500);
	if (fleet.isTroubled) {
		// The entries expire of the workers whose last heartbeat is older than 1.05 s when the outage begins: three tenths of all at any time.
		await fleet.waitFor('the heartbeat of a worker of the wave to be due', () => Date.now() - fleet.workers[0].lastReportAt > 1400, 3000);
		fleet.record('store-down');
		fleet.store.fail('busy');
		await delay(outageMs);
		fleet.store.recover();
		fleet.record('store-up');
	}

	await delay(watchMs);
	return fleet.findEndedTogether(mayMiss);
});
