/* eslint-disable camelcase -- the fields of the platform are in snake case */
/**
 * Jobs come at once on a queue with advice. Without the disruption, jobs come to the same queue at its usual rate.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {playCase} from '../stand-ins-2/fleet.js';

const advice = {decideMs: 200, eachMs: 10, validMs: 5000};
const burst = {jobs: 40, intervalMs: 100};
const calm = {jobs: 10, intervalMs: 1300};
const taskMs = 2100;
const step = {
	count: 8, cpu: 7100, mem_mb: 512, estimated_ms: taskMs,
};
/** Rule LOST: jobs are asked for `finish_s` after the end of the traffic; a job that has nothing running for 3 s then, with room for it, is lost. */
const finishMs = 14_000;
const idleMs = 3000;
/** Further time, to show whether the jobs start at all. */
const furtherMs = 40_000;

await playCase(import.meta.dirname, {processes: 3, services: [{name: 'billing', workers: 8}], advice}, async fleet => {
	const {jobs, intervalMs} = fleet.isTroubled ? burst : calm;
	const accepted = [];
	await Promise.all(Array.from({length: jobs}, async (_, index) => {
		const id = (index + 1).toString(16).padStart(16, '0');
		await delay(index * intervalMs);
		if (await fleet.submit('billing', id, {spec: JSON.stringify({ms: taskMs}), steps: [step]})) {
			accepted.push(id);
		}
	}));
	fleet.record('end of the traffic', {accepted: accepted.length});
	await delay(finishMs);
	const first = await findIdleJobs(fleet, accepted);
	await delay(idleMs);
	const second = await findIdleJobs(fleet, accepted);
	const lost = second.filter(id => first.includes(id));
	const running = fleet.workers.map(worker => worker.running.size);
	fleet.record('jobs without a run', {count: lost.length, running});
	// Two tasks of every job fit beside all that is at work while less than half of the cores are in use.
	if (lost.length === 0 || running.reduce((sum, count) => sum + count, 0) * step.cpu >= fleet.workers.length * 64_000 / 2) {
		return [];
	}

	await delay(fleet.isTroubled ? furtherMs : 0);
	const last = await findIdleJobs(fleet, accepted);
	const still = last.filter(id => lost.includes(id));
	fleet.record('jobs still without a run', {count: still.length});
	const later = fleet.isTroubled ? `; ${still.length} of them have not started ${furtherMs} ms later` : '';
	return [`LOST: ${lost.length} of ${accepted.length} accepted jobs have nothing running for ${idleMs} ms, ${finishMs} ms after the end of the traffic, with most of the service idle${later}`];
});

/** Finds the accepted jobs that are not shown as ended and of which no task has ever started. */
async function findIdleJobs(fleet, accepted) {
	const started = new Set(fleet.events.filter(({event}) => event === 'run-started').map(({task}) => task.split('.')[0]));
	const idle = [];
	for (const id of accepted.filter(candidate => !started.has(candidate))) {
		const {state} = await fleet.readState('billing', id);
		if (state === 'queued' || state === 'running') {
			idle.push(id);
		}
	}

	return idle;
}
