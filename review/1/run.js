/* eslint-disable camelcase -- the fields of the users' platform are in snake case */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {hasTrouble, runCase} from '../stand-ins/fleet.js';

const prefix = '/plans/';
const capacity = {cpu: 16_000, mem_mb: 32_000, gpu: 0};
const count = 120;

/** One way between two zones, and the lag of the list of workers, as the site file has them. */
const linkMs = 1.4;
const listingLagMs = 800;

/** Time for which the worker is down; a supervisor restarts it at once. */
const downMs = 500;

await runCase({
	folder: import.meta.dirname,
	workers: Array.from({length: 8}, (_, index) => ({
		service: 'dispatch', labels: [index === 0 ? 'kind-b' : 'kind-a', index < 4 ? 'r1-1' : 'r1-2'], capacity, linkMs, listingLagMs,
	})),
	routes: [{
		name: 'plans', host: 'jobs.example', prefix, service: 'dispatch', priority: 0, max_attempts: 3, stretch: 1.6, target_latency_ms: 600, allow_anonymous: false,
	}],
	services: [{name: 'dispatch', enforces_capacity: true, spare: false}],
	tenants: [{
		name: 'north', api_keys: ['key-north'], weight: 1, max_count: {cpu: 0, mem_mb: 0, gpu: 0},
	}],
}, async fleet => {
	const [worker] = fleet.workers;
	const steps = ms => [{
		count, cpu: 100, mem_mb: 64, requirements: 'kind-b', ms,
	}];
	const first = await fleet.submit({prefix, steps: steps(300)});
	let state;
	while (state !== 'completed') {
		await delay(20);
		const {body} = await fleet.call('GET', {prefix, id: first.id});
		state = body?.state;
	}

	if (hasTrouble) {
		// One of eight workers crashes while it is idle, and starts again under its id.
		worker.crash();
		await delay(downMs);
		await worker.start();
	} else {
		await delay(downMs);
	}

	const second = await fleet.submit({prefix, steps: steps(50)});
	await delay(8000);
	const broken = [];
	const done = new Map();
	for (const line of readFileSync(path.join(fleet.folder, 'record.txt'), 'utf8').split('\n')) {
		const {type, task, run, how, at} = line === '' ? {} : JSON.parse(line);
		if (task === undefined || !task.startsWith(`${second.id}.`)) {
			continue;
		}

		if (type === 'started' && done.has(task)) {
			broken.push({
				rule: 'TWICE', task, doneRun: done.get(task).run, doneAt: done.get(task).at, run, at,
			});
		}

		if (type === 'noted' && how === 'done' && !done.has(task)) {
			done.set(task, {run, at});
		}
	}

	return broken;
});
