/* eslint-disable camelcase -- the fields of the users' platform are in snake case */
import {setTimeout as delay} from 'node:timers/promises';
import {bounds, hasTrouble, runCase} from '../stand-ins/fleet.js';
import {findIdleJobs} from '../stand-ins/idle-jobs.js';

const prefix = '/plans/';
const capacity = {cpu: 16_000, mem_mb: 32_000, gpu: 0};
const lastingJobs = 12;
const ordinaryJobs = 10;

await runCase({
	folder: import.meta.dirname,
	workers: Array.from({length: 8}, (_, index) => ({service: 'dispatch', labels: [index === 7 ? 'kind-b' : 'kind-a', index < 4 ? 'r1-1' : 'r1-2'], capacity})),
	routes: [{
		name: 'plans', host: 'jobs.example', prefix, service: 'dispatch', priority: 0, max_attempts: 3, stretch: 1.6, target_latency_ms: 600, allow_anonymous: false,
	}],
	services: [{name: 'dispatch', enforces_capacity: true, spare: false}],
	tenants: [{
		name: 'north', api_keys: ['key-north'], weight: 1, max_count: {cpu: 0, mem_mb: 0, gpu: 0},
	}],
}, async fleet => {
	// Jobs that last, with one small task each that needs the kind of the last worker.
	for (let index = 0; index < lastingJobs; index++) {
		await fleet.submit({
			prefix, steps: [{
				count: 1, cpu: 500, mem_mb: 64, requirements: 'kind-b', ms: 0,
			}],
		});
	}

	await delay(4000);
	if (hasTrouble) {
		// One of eight workers is lost for good.
		fleet.workers[7].crash();
	}

	await delay(10_000);
	const jobs = [];
	for (let index = 0; index < ordinaryJobs; index++) {
		const job = await fleet.submit({
			prefix, steps: [{
				count: 4, cpu: 1000, mem_mb: 64, ms: 600,
			}],
		});
		if (job !== undefined) {
			jobs.push(job);
		}

		await delay(500);
	}

	await delay(bounds.finish_s * 1000);
	const broken = await findIdleJobs(fleet, {jobs, watchMs: 5000, mayRun: ({entry}) => entry.labels.includes('kind-a')});
	for (const job of jobs) {
		await fleet.call('GET', {prefix, id: job.id});
	}

	return broken;
});
