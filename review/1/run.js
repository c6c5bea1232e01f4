/* eslint-disable camelcase -- the fields of the users' platform are in snake case */
import {readFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {bounds, hasTrouble, runCase} from '../stand-ins/fleet.js';

const prefix = '/plans/';
const capacity = {cpu: 16_000, mem_mb: 32_000, gpu: 0};
const crashes = hasTrouble ? 2 : 0;
const waitLimitMs = 15_000;

await runCase({
	folder: import.meta.dirname,
	processes: 3,
	workers: Array.from({length: 8}, (_, index) => ({service: 'dispatch', labels: ['kind-a', index < 4 ? 'r1-1' : 'r1-2'], capacity})),
	routes: [{
		name: 'plans', host: 'jobs.example', prefix, service: 'dispatch', priority: 0, max_attempts: 3, stretch: 1.6, target_latency_ms: 600, allow_anonymous: false,
	}],
	services: [{name: 'dispatch', enforces_capacity: true, spare: false}],
	tenants: [{
		name: 'north', api_keys: ['key-north'], weight: 1, max_count: {cpu: 0, mem_mb: 0, gpu: 0},
	}],
}, async fleet => {
	const job = await fleet.submit({
		prefix, steps: [{
			count: 1, cpu: 2000, mem_mb: 64, ms: 3000,
		}],
	});
	const name = `${job.id}.0.0.0`;
	for (let crash = 0; crash < crashes; crash++) {
		const limit = fleet.now + waitLimitMs;
		while (fleet.listRunning(job).length === 0 && fleet.now < limit) {
			await delay(20);
		}

		await delay(500);
		// One of eight workers crashes, and is back under its id after a second.
		const worker = fleet.workers.find(({runs}) => runs.has(name));
		if (worker === undefined) {
			break;
		}

		worker.crash();
		await delay(1000);
		await worker.start();
	}

	await delay(bounds.finish_s * 1000);
	const {body} = await fleet.call('GET', {prefix, id: job.id});
	const failedEnds = readFileSync(path.join(fleet.folder, 'record.txt'), 'utf8').split('\n').filter(line => line.includes('"how":"failed"')).length;
	const isBroken = body?.state === 'failed' && failedEnds === 0;
	const finding = {
		rule: 'LOST', job: job.id, state: body?.state, failedEnds,
	};
	return isBroken ? [finding] : [];
});
