/* eslint-disable camelcase -- the platform's names */
/**
 * Jobs that have waited for a full service start together. Then the workers of one rack crash, and come back. All jobs have
 * to run on, since most of the service is idle.
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
const capacity = {cpu: 64_000, mem_mb: 131_072, gpu: 0};
const workerCount = 8;
const rackSize = 4;
const jobCount = 120;
const jobIntervalMs = 33;
const taskCpu = 3300;
const taskMs = 1600;
const fillerMs = 6000;
const downMs = 7000;
const finishMs = 14_000;
const windowMs = 3000;

const recorder = new Recorder(fileURLToPath(new URL('record.txt', import.meta.url)));
const running = new Map();
const started = new Set();

/** Jobs with a run since the beginning of the time that is checked, and the most that was in use since then. */
const active = new Set();
let peakCpu = 0;

function findJob(task) {
	return task.split('.')[0];
}

function noteUse() {
	peakCpu = Math.max(peakCpu, running.size * taskCpu);
	for (const {task} of running.values()) {
		active.add(findJob(task));
	}
}

function record(event) {
	const {type, task, run, worker} = event;
	const id = `${worker}/${task}/${run}`;
	if (type === 'started') {
		running.set(id, event);
		started.add(findJob(task));
		noteUse();
	} else if (type === 'ended' || type === 'lost') {
		running.delete(id);
	}

	recorder.write(event);
}

const store = new Store();
const cloud = new Cloud({record, sparePool: undefined});
const deployment = new Deployment({recorder});
const workers = [];
const jobs = [];
let exitCode = 2;

async function waitUntil(isReached, limitMs) {
	const endAt = Date.now() + limitMs;
	while (!isReached()) {
		if (Date.now() > endAt) {
			throw new Error('The expected state was not reached');
		}

		await delay(20);
	}
}

async function submit(front, {id, count, cpu, ms}) {
	const {status} = await deployment.callAsClient({
		front,
		host,
		method: 'POST',
		path: `/alert/${id}`,
		key,
		body: {
			spec: String(ms), steps: [{
				count, cpu, mem_mb: 512, estimated_ms: ms,
			}],
		},
	});
	if (status === 200) {
		jobs.push(id);
	}
}

async function crashRack() {
	recorder.write({type: 'crash', workers: workers.slice(0, rackSize).map(({id, running: rows}) => [id, rows.length])});
	await Promise.all(workers.slice(0, rackSize).map(async worker => {
		const {id, service} = worker;
		await worker.crash();
		await delay(downMs);
		await worker.start({id, service});
	}));
}

/** Lists the jobs that are not completed. */
async function listOpenJobs() {
	const open = [];
	for (const id of jobs) {
		const {status, body} = await deployment.callAsClient({
			front: deployment.fronts[0], host, method: 'GET', path: `/alert/${id}`, key,
		});
		if (status !== 200 || body.state !== 'completed') {
			open.push(id);
		}
	}

	return open;
}

async function play() {
	await store.start();
	await cloud.start();
	store.put('op/config', JSON.stringify({
		version: 1,
		routes: [{
			name: 'alert', host, prefix: '/alert/', kind: 'unsafe', timeout_ms: 3000, target_latency_ms: 600, priority: 0, service: 'alerts', max_attempts: 2, stretch: 1.6, allow_anonymous: false,
		}],
		services: [{name: 'alerts', enforces_capacity: true, spare: false}],
		limits: {max_body_bytes: 262_144},
		tenants: [{
			name: 'one', api_keys: [key], weight: 1, max_count: {cpu: 0, mem_mb: 0, gpu: 0},
		}],
	}));
	for (let index = 0; index < workerCount; index++) {
		const rack = `r${Math.floor(index / rackSize)}`;
		const zone = index % 2 === 0 ? 'one' : 'two';
		const worker = new Worker({
			store, record, machine: `m${index}`, zone, rack, capacity,
		});
		workers.push(worker);
		await cloud.add({
			worker, pool: 'alerts', zone, rack, capacity,
		});
	}

	for (const zone of ['one', 'two']) {
		await deployment.startFront({
			name: `front-${zone}`, zone, store: store.address, cloud: cloud.address,
		});
	}

	await delay(3000);
	await submit(deployment.fronts[0], {
		id: '00000000000000ff', count: 16, cpu: 32_000, ms: fillerMs,
	});
	await waitUntil(() => running.size === 16, 10_000);
	const submissions = [];
	for (let number = 1; number <= jobCount; number++) {
		submissions.push(submit(deployment.fronts[number % 2], {
			id: `${number.toString(16).padStart(15, '0')}e`, count: 1, cpu: taskCpu, ms: taskMs,
		}));
		await delay(jobIntervalMs);
	}

	await Promise.all(submissions);
	await waitUntil(() => started.size > jobCount * 0.9, 20_000);
	await delay(500);
	const crashing = isTroubled ? crashRack() : undefined;
	// The traffic goes on until the workers are back.
	const backAt = Date.now() + downMs;
	for (let number = jobCount + 1; Date.now() < backAt; number++) {
		await submit(deployment.fronts[number % 2], {
			id: `${number.toString(16).padStart(15, '0')}e`, count: 1, cpu: taskCpu, ms: taskMs,
		});
		await delay(1000);
	}

	await crashing;
	await delay(finishMs);
	active.clear();
	peakCpu = 0;
	noteUse();
	recorder.write({type: 'check'});
	await delay(windowMs);
	const activeJobs = new Set(active);
	const open = await listOpenJobs();
	const idle = open.filter(id => !activeJobs.has(id));
	recorder.write({
		type: 'result', accepted: jobs.length, idle, peakCpu,
	});
	const use = `at most ${peakCpu} of ${workerCount * capacity.cpu} in use`;
	process.stdout.write(`${jobs.length} jobs accepted; ${finishMs} ms after the end of the traffic, ${idle.length} jobs have nothing running for ${windowMs} ms, with ${use}\n`);
	exitCode = idle.length > 0 && peakCpu < workerCount * capacity.cpu / 2 ? 1 : 0;
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
