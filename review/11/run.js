/* eslint-disable camelcase -- the platform's names */
/**
 * Workers of one service crash now and then, one at a time, and start again. No run ends `failed`. A job that is shown as
 * `failed` breaks the rule.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {Cloud} from '../stand-ins-3/cloud.js';
import {Deployment, Recorder} from '../stand-ins-3/deployment.js';
import {Store} from '../stand-ins-3/store.js';
import {Worker} from '../stand-ins-3/worker.js';

const isTroubled = process.env.TROUBLE !== '0';
const host = 'jobs.example';
const key = 'key-one';
const workerCount = 8;
const capacity = {cpu: 64_000, mem_mb: 131_072, gpu: 0};
const loadMs = 75_000;
const jobIntervalMs = 1000;
const taskMs = 2100;
const crashIntervalMs = 3000;
const downMs = 1000;
const finishMs = 14_000;

const recorder = new Recorder(fileURLToPath(new URL('record.txt', import.meta.url)));
const record = event => {
	recorder.write(event);
};

/** Draws the same numbers in each run. */
let seed = 12;
function draw(limit) {
	seed = ((seed * 1_103_515_245) + 12_345) % 2_147_483_648;
	return Math.floor(seed / 2_147_483_648 * limit);
}

const store = new Store();
const cloud = new Cloud({record, sparePool: undefined});
const deployment = new Deployment({recorder});
const workers = [];
const jobs = [];
const failedEnds = [];
let exitCode = 2;

async function submit(front, number) {
	const id = number.toString(16).padStart(16, '0');
	const body = {
		spec: String(taskMs), steps: [{
			count: 8, cpu: 7100, mem_mb: 512, estimated_ms: taskMs,
		}, {
			count: 8, cpu: 7100, mem_mb: 512, estimated_ms: taskMs, after: [0],
		}],
	};
	const {status} = await deployment.callAsClient({
		front, host, method: 'POST', path: `/bill/${id}`, key, body,
	});
	if (status >= 200 && status < 300) {
		jobs.push(id);
	}
}

async function crashWorkers(endAt) {
	while (Date.now() < endAt) {
		await delay(crashIntervalMs - downMs);
		const worker = workers[draw(workers.length)];
		const {id, service} = worker;
		record({type: 'crash', worker: id, running: worker.running});
		await worker.crash();
		await delay(downMs);
		await worker.start({id, service});
	}
}

async function play() {
	await store.start();
	await cloud.start();
	store.put('op/config', JSON.stringify({
		version: 1,
		routes: [{
			name: 'bill', host, prefix: '/bill/', kind: 'unsafe', timeout_ms: 3000, target_latency_ms: 600, priority: 1, service: 'billing', max_attempts: 3, stretch: 1.6, allow_anonymous: false,
		}],
		services: [{name: 'billing', enforces_capacity: true, spare: false}],
		limits: {max_body_bytes: 262_144},
		tenants: [{
			name: 'one', api_keys: [key], weight: 1, max_count: {cpu: 0, mem_mb: 0, gpu: 0},
		}],
	}));
	for (let index = 0; index < workerCount; index++) {
		const rack = `r${Math.floor(index / 4)}`;
		const zone = index % 2 === 0 ? 'one' : 'two';
		const worker = new Worker({
			store, record(event) {
				if (event.how === 'failed') {
					failedEnds.push(event);
				}

				record(event);
			}, machine: `m${index}`, zone, rack, capacity,
		});
		workers.push(worker);
		await cloud.add({
			worker, pool: 'billing', zone, rack, capacity,
		});
	}

	const fronts = await Promise.all(['one', 'two'].map(async zone => deployment.startFront({
		name: `front-${zone}`, zone, store: store.address, cloud: cloud.address,
	})));
	await delay(4000);
	const endAt = Date.now() + loadMs;
	const crashing = isTroubled ? crashWorkers(endAt) : undefined;
	const submissions = [];
	for (let number = 1; Date.now() < endAt; number++) {
		submissions.push(submit(fronts[number % fronts.length], number));
		await delay(jobIntervalMs);
	}

	await Promise.all([crashing, ...submissions]);
	await delay(finishMs);
	const failed = [];
	const open = [];
	for (const id of jobs) {
		const {status, body} = await deployment.callAsClient({
			front: fronts[0], host, method: 'GET', path: `/bill/${id}`, key,
		});
		if (status === 200 && body.state === 'failed') {
			failed.push(id);
		} else if (status !== 200 || body.state !== 'completed') {
			open.push(id);
		}
	}

	record({
		type: 'result', accepted: jobs.length, failed, open, failedEnds: failedEnds.length,
	});
	process.stdout.write(`${jobs.length} jobs accepted, ${failedEnds.length} runs ended failed; shown as failed: ${failed.join(' ') || 'none'}; not completed: ${open.join(' ') || 'none'}\n`);
	exitCode = failed.length > 0 && failedEnds.length === 0 ? 1 : 0;
}

try {
	await play();
} catch (error) {
	process.stdout.write(`The case could not run: ${error.stack}\n`);
} finally {
	await deployment.stop();
	await Promise.all(workers.map(async worker => worker.stop()));
	await cloud.stop();
	await store.stop();
}

process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- calls of the stand-ins that still wait would keep the script alive
