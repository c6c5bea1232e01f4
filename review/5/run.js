/* eslint-disable camelcase -- the fields of the users' platform are in snake case */
import {randomBytes} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {bounds, hasTrouble, runCase} from '../stand-ins/fleet.js';
import {findIdleJobs} from '../stand-ins/idle-jobs.js';

const prefix = '/plans/';
const capacity = {cpu: 16_000, mem_mb: 32_000, gpu: 0};
const advice = {decide_ms: 100, each_ms: 2, valid_ms: 3000};

/** Positions of the workers that the policy of the queue allows. */
const allowed = new Set([1, 32, 33]);

const tickets = new Map();
const waiting = {calls: 0, last: Promise.resolve()};

/** Decides on one call after the other, as the pages say. */
async function advise(fleet, {step, workers}) {
	if (waiting.calls >= 32) {
		return {status: 429};
	}

	waiting.calls++;
	const before = waiting.last;
	waiting.last = (async () => {
		await before;
		await delay(advice.decide_ms + (advice.each_ms * workers.length));
		waiting.calls--;
	})();
	await waiting.last;
	const good = [];
	for (const [position, worker] of fleet.workers.entries()) {
		if (allowed.has(position) && workers.includes(worker.id)) {
			const ticket = randomBytes(6).toString('hex');
			tickets.set(ticket, {
				step, worker: worker.id, born: worker.born, until: performance.now() + advice.valid_ms,
			});
			good.push([worker.id, ticket]);
		}
	}

	fleet.record({
		type: 'advised', step, asked: workers, good: good.map(([id]) => id),
	});
	return {status: 200, body: {good, valid_ms: advice.valid_ms}};
}

const holder = {};
await runCase({
	folder: import.meta.dirname,
	workers: Array.from({length: 34}, (_, index) => ({service: 'dispatch', labels: ['kind-a', `r1-${1 + Math.floor(index / 8)}`], capacity})),
	routes: [{
		name: 'plans', host: 'jobs.example', prefix, service: 'dispatch', priority: 0, max_attempts: 3, stretch: 1.6, target_latency_ms: 600, allow_anonymous: false, advice,
	}],
	services: [{name: 'dispatch', enforces_capacity: true, spare: false}],
	tenants: [{
		name: 'north', api_keys: ['key-north'], weight: 1, max_count: {cpu: 0, mem_mb: 0, gpu: 0},
	}],
	advise: async request => advise(holder.fleet, request),
	ticketIsGood({worker, step, ticket}) {
		const known = tickets.get(ticket);
		return known !== undefined && known.step === step && known.worker === worker.id && known.born === worker.born && performance.now() < known.until;
	},
}, async fleet => {
	holder.fleet = fleet;
	if (hasTrouble) {
		// One of 34 workers is lost for good.
		fleet.workers[1].crash();
	}

	await delay(8000);
	const jobs = [];
	for (let index = 0; index < 5; index++) {
		const job = await fleet.submit({
			prefix, steps: [{
				count: 4, cpu: 1000, mem_mb: 64, ms: 600,
			}],
		});
		if (job !== undefined) {
			jobs.push(job);
		}

		await delay(1000);
	}

	await delay(bounds.finish_s * 1000);
	const broken = await findIdleJobs(fleet, {jobs, watchMs: 5000, mayRun: worker => allowed.has(fleet.workers.indexOf(worker))});
	for (const job of jobs) {
		await fleet.call('GET', {prefix, id: job.id});
	}

	return broken;
});
