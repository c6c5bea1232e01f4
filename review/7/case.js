/* eslint-disable camelcase -- the fields of the platform are in snake case */
/**
 * Orders to start tasks are delayed on their way, and the worker crashes and is back before they arrive.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {playCase} from '../stand-ins-2/fleet.js';

const taskCount = 8;
const taskMs = 5000;
const lateMs = 6000;
const downMs = 4500;
const id = '00000000000000d1';

await playCase(import.meta.dirname, {processes: 3, services: [{name: 'planner', workers: 8}], hasProxies: true}, async fleet => {
	await delay(3000);
	const [worker] = fleet.workers;
	if (fleet.isTroubled) {
		worker.proxy.delayMs = lateMs;
		worker.proxy.delayedPaths = ['/run-start'];
	}

	const isAccepted = await fleet.submit('planner', id, {
		spec: JSON.stringify({ms: taskMs}), steps: [{
			count: taskCount, cpu: 32_000, mem_mb: 512, estimated_ms: taskMs,
		}],
	});
	if (!isAccepted) {
		throw new Error('The job was not accepted');
	}

	if (fleet.isTroubled) {
		await fleet.waitFor('a delayed order', () => fleet.events.some(({event}) => event === 'call-delayed'), 10_000);
		await delay(200);
		worker.crash();
		worker.proxy.delayMs = 0;
		await delay(downMs);
		await worker.start();
	}

	await delay(15_000);
	return findViolations(fleet);
});

function findViolations({events}) {
	const running = new Map();
	const noted = new Map();
	const violations = [];
	for (const {
		at, event, worker, task, run, how, lost = [],
	} of events) {
		if (event === 'run-started') {
			const others = running.get(task) ?? [];
			if (others.length > 0) {
				violations.push(`TWICE: task ${task} starts as run ${run} on ${worker} at ${at} ms, while run ${others[0].run} of it is at work on ${others[0].worker}`);
			} else if (noted.has(task)) {
				const {run: doneRun, at: notedAt} = noted.get(task);
				violations.push(`TWICE: task ${task} starts as run ${run} on ${worker} at ${at} ms, after run ${doneRun} of it has ended done, which was taken note of at ${notedAt} ms`);
			}

			running.set(task, [...others, {worker, run}]);
		} else if (event === 'run-ended') {
			running.set(task, running.get(task).filter(other => other.run !== run || other.worker !== worker));
		} else if (event === 'end-noted' && how === 'done') {
			noted.set(task, {run, at});
		} else if (event === 'worker-down') {
			for (const [lostTask, lostRun] of lost) {
				running.set(lostTask, running.get(lostTask).filter(other => other.run !== lostRun || other.worker !== worker));
			}
		}
	}

	return violations;
}
