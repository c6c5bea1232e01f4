/* eslint-disable camelcase -- the platform's names */
/**
 * A client cancels a job of its tenant and submits the next one. Before that, the process that gave the orders is killed.
 * What the tenant has running must stay within its limit.
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
const taskCpu = 16_000;
const maximumCpu = 64_000;
const quotaOverage = 0.1;
const allowedCpu = (maximumCpu * (1 + quotaOverage)) + taskCpu;
const ownerKey = 'rosemaryquay/owner';

const recorder = new Recorder(fileURLToPath(new URL('record.txt', import.meta.url)));
const running = new Set();
const breaches = [];

function record(event) {
	const run = `${event.task}/${event.run}`;
	if (event.type === 'started') {
		running.add(run);
		if (running.size * taskCpu > allowedCpu) {
			breaches.push(event);
			recorder.write({
				type: 'breach', cpu: running.size * taskCpu, allowedCpu, running: [...running],
			});
		}
	} else if (event.type === 'ended' || event.type === 'lost') {
		running.delete(run);
	}

	recorder.write(event);
}

const store = new Store();
const cloud = new Cloud({record, sparePool: undefined});
const deployment = new Deployment({recorder});
const workers = [];
let exitCode = 2;

async function callJob(front, {method, id, taskMs}) {
	return deployment.callAsClient({
		front, host, method, path: `/bill/${id}`, key, body: method === 'POST'
			? {
				spec: String(taskMs), steps: [{
					count: 4, cpu: taskCpu, mem_mb: 512, estimated_ms: taskMs,
				}],
			}
			: undefined,
	});
}

/** Repeats a call until it is answered as expected, as a client does. */
async function callUntil(front, options, isExpected) {
	for (let attempt = 0; attempt < 60; attempt++) {
		const answer = await callJob(front, options);
		if (isExpected(answer)) {
			return;
		}

		await delay(200);
	}

	throw new Error(`${options.method} ${options.id} was not answered as expected`);
}

const isAccepted = ({status}) => status >= 200 && status < 300;

function findOwner() {
	const value = store.read(ownerKey);
	return value === undefined ? undefined : JSON.parse(value).instance;
}

async function playRound(number) {
	const first = `${number}`.padStart(15, '0') + 'a';
	const second = `${number}`.padStart(15, '0') + 'b';
	const owner = deployment.fronts.find(({name, child}) => name === findOwner() && child.signalCode === null);
	const other = deployment.fronts.find(front => front !== owner && front.child.signalCode === null);
	await callUntil(other, {method: 'POST', id: first, taskMs: 20_000}, isAccepted);
	await delay(1500);
	if (isTroubled) {
		recorder.write({type: 'kill', front: owner.name});
		owner.child.kill('SIGKILL');
	}

	await callUntil(other, {method: 'DELETE', id: first}, ({status}) => status === 200 || status === 410);
	await callUntil(other, {method: 'POST', id: second, taskMs: 500}, isAccepted);
	await callUntil(other, {method: 'GET', id: second}, ({body}) => body.state === 'completed');
	if (isTroubled) {
		await deployment.startFront({
			name: `${owner.name}x`, zone: owner.zone, store: store.address, cloud: cloud.address,
		});
	}

	await delay(3000);
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
			name: 'one', api_keys: [key], weight: 1, max_count: {cpu: maximumCpu, mem_mb: 0, gpu: 0},
		}],
	}));
	for (let index = 0; index < workerCount; index++) {
		const rack = `r${Math.floor(index / 4)}`;
		const zone = index % 2 === 0 ? 'one' : 'two';
		const worker = new Worker({
			store, record, machine: `m${index}`, zone, rack, capacity,
		});
		workers.push(worker);
		await cloud.add({
			worker, pool: 'billing', zone, rack, capacity,
		});
	}

	for (const zone of ['one', 'two', 'three']) {
		await deployment.startFront({
			name: `front-${zone}`, zone, store: store.address, cloud: cloud.address,
		});
	}

	await delay(3000);
	for (let number = 1; number <= 4; number++) {
		await playRound(number);
	}

	recorder.write({type: 'result', breaches: breaches.length});
	process.stdout.write(`${breaches.length} starts above the limit of the tenant\n`);
	exitCode = breaches.length > 0 ? 1 : 0;
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
