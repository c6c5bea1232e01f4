/* eslint-disable camelcase -- the fields of the platform are in snake case */
/**
 * A worker crashes just after the tasks of a job that lasts have started there, and is back at once.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {playCase} from '../stand-ins-2/fleet.js';

const id = '00000000000000b1';
const otherId = '00000000000000b0';
const taskCount = 32;
const crashAfterMs = 1000;
const downMs = 500;
/** Rule LOST: each task that lasts has to run from 6 s after its last run, unless 3 s that are calm, and the 4 s before them, have not passed. */
const restartMs = 6000;
const idleMs = 3000;
const calmBeforeMs = 4000;
const watchMs = 25_000;

await playCase(import.meta.dirname, {processes: 3, services: [{name: 'planner', workers: 8}]}, async fleet => {
	// Another job that lasts fills four of the workers.
	const isOtherAccepted = await fleet.submit('planner', otherId, {
		spec: '{"lasts":true}', steps: [{
			count: 4, cpu: 64_000, mem_mb: 1024, estimated_ms: 1000, long_running: true,
		}],
	});
	await fleet.waitFor('the other tasks at work', () => Array.from({length: 4}, (_, index) => fleet.findRun(`${otherId}.0.0.${index}`)).every(run => run !== undefined), 20_000);
	await delay(4000);
	const isAccepted = await fleet.submit('planner', id, {
		spec: '{"lasts":true}', steps: [{
			count: taskCount, cpu: 500, mem_mb: 128, estimated_ms: 1000, long_running: true,
		}],
	});
	if (!isAccepted || !isOtherAccepted) {
		throw new Error('The job was not accepted');
	}

	const tasks = Array.from({length: taskCount}, (_, index) => `${id}.0.0.${index}`);
	await fleet.waitFor('all tasks at work', () => tasks.every(task => fleet.findRun(task) !== undefined), 20_000);
	await delay(crashAfterMs);
	let calmFrom = Date.now();
	const lost = new Map();
	if (fleet.isTroubled) {
		const [worker] = fleet.workers.toSorted((left, right) => right.running.size - left.running.size);
		for (const task of worker.running.keys()) {
			lost.set(task, Date.now());
		}

		worker.crash();
		await delay(downMs);
		await worker.start();
		calmFrom = Date.now();
	}

	const violations = new Map();
	const until = Date.now() + watchMs;
	while (Date.now() < until) {
		const now = Date.now();
		for (const [task, endedAt] of lost) {
			const idleFrom = Math.max(endedAt + restartMs, calmFrom + calmBeforeMs);
			if (fleet.findRun(task) !== undefined) {
				fleet.record('task at work again', {task, afterMs: now - endedAt});
				lost.delete(task);
			} else if (now - idleFrom > idleMs) {
				violations.set(task, `LOST: task ${task}, which lasts, has not run for ${now - endedAt} ms, calm for ${now - calmFrom} ms, with half of the workers nearly idle`);
			}
		}

		await delay(20);
	}

	return [...violations.values()];
});
