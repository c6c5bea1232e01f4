/* eslint-disable camelcase -- the fields of the users' platform are in snake case */
import {setTimeout as delay} from 'node:timers/promises';
import {bounds, hasTrouble, runCase} from '../stand-ins/fleet.js';
import {findIdleJobs} from '../stand-ins/idle-jobs.js';

const prefix = '/plans/';
const capacity = {cpu: 16_000, mem_mb: 32_000, gpu: 0};

await runCase({
	folder: import.meta.dirname,
	workers: Array.from({length: 12}, (_, index) => ({service: 'dispatch', labels: [index >= 10 ? 'kind-b' : 'kind-a', `r1-${1 + Math.floor(index / 4)}`], capacity})),
	routes: [{
		name: 'plans', host: 'jobs.example', prefix, service: 'dispatch', priority: 0, max_attempts: 3, stretch: 1.6, target_latency_ms: 600, allow_anonymous: false,
	}],
	services: [{name: 'dispatch', enforces_capacity: true, spare: false}],
	tenants: [{
		name: 'north', api_keys: ['key-north'], weight: 1, max_count: {cpu: 0, mem_mb: 0, gpu: 0},
	}],
}, async fleet => {
	// A task that lasts takes one of the two workers of its kind up, all but a rest.
	await fleet.submit({
		prefix, steps: [{
			count: 1, cpu: 15_500, mem_mb: 64, requirements: 'kind-b', ms: 0,
		}],
	});
	await delay(3000);
	const other = fleet.workers.slice(10).find(({runs}) => runs.size === 0);
	// One of twelve workers fails all that it starts, for 5.5 s.
	other.failsTasks = hasTrouble;
	setTimeout(() => {
		other.failsTasks = false;
	}, 5500);
	const jobs = [];
	for (let index = 0; index < 3; index++) {
		const job = await fleet.submit({
			prefix, steps: [{
				count: 1, cpu: 2000, mem_mb: 64, requirements: 'kind-b', ms: 600,
			}],
		});
		if (job !== undefined) {
			jobs.push(job);
		}
	}

	await delay(5000 + (bounds.finish_s * 1000));
	const broken = await findIdleJobs(fleet, {jobs, watchMs: 5000, mayRun: ({entry}) => entry.labels.includes('kind-b')});
	for (const job of jobs) {
		await fleet.call('GET', {prefix, id: job.id});
	}

	return broken;
});
