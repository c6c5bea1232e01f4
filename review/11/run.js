/* eslint-disable camelcase -- the platform's names */
/**
 * A queue is sent to another service while its own one is full, and back again. Then the process that gives the orders is
 * killed, and a worker of the other service is cut off and runs on. No task may have two runs at the same time.
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
const workersPerService = 4;
const ownerKey = 'rosemaryquay/owner';
const cutMs = 5000;

/** A process that is killed is started again after a short delay. */
const restartMs = 500;

const rounds = 2;

const recorder = new Recorder(fileURLToPath(new URL('record.txt', import.meta.url)));
const running = new Map();
const breaches = [];

function record(event) {
	const {type, task, run, worker} = event;
	const id = `${worker}/${task}/${run}`;
	if (type === 'started') {
		const other = [...running.values()].find(candidate => candidate.task === task);
		running.set(id, event);
		if (other !== undefined) {
			breaches.push({first: other, second: event});
			recorder.write({type: 'breach', first: other, second: event});
		}
	} else if (type === 'ended' || type === 'lost') {
		running.delete(id);
	}

	recorder.write(event);
}

const store = new Store();
const cloud = new Cloud({record, sparePool: undefined});
const deployment = new Deployment({recorder});
const workers = [];
let version = 0;
let exitCode = 2;

/** The operator sends the queue to a service. */
function configure(service) {
	version++;
	recorder.write({type: 'configuration', version, service});
	store.put('op/config', JSON.stringify({
		version,
		routes: [{
			name: 'plan', host, prefix: '/plan/', kind: 'unsafe', timeout_ms: 3000, target_latency_ms: 600, priority: 1, service, max_attempts: 3, stretch: 1.6, allow_anonymous: false,
		}],
		services: [{name: 'planner', enforces_capacity: true, spare: false}, {name: 'billing', enforces_capacity: true, spare: false}],
		limits: {max_body_bytes: 262_144},
		tenants: [{
			name: 'one', api_keys: [key], weight: 1, max_count: {cpu: 0, mem_mb: 0, gpu: 0},
		}],
	}));
}

async function waitUntil(isReached, limitMs) {
	const endAt = Date.now() + limitMs;
	while (!isReached()) {
		if (Date.now() > endAt) {
			throw new Error('The expected state was not reached');
		}

		await delay(20);
	}
}

async function submit(front, {id, count, taskMs}) {
	const {status} = await deployment.callAsClient({
		front,
		host,
		method: 'POST',
		path: `/plan/${id}`,
		key,
		body: {
			spec: String(taskMs), steps: [{
				count, cpu: 16_000, mem_mb: 512, estimated_ms: taskMs,
			}],
		},
	});
	if (status !== 200) {
		throw new Error(`The job ${id} was not accepted: ${status}`);
	}
}

const countRuns = id => [...running.values()].filter(({task}) => task.startsWith(id)).length;

async function playRound(number) {
	const first = `${number}a`.padStart(16, '0');
	const second = `${number}b`.padStart(16, '0');
	const living = deployment.fronts.filter(({child}) => child.signalCode === null);
	// The first job fills the service, so that the second one waits.
	await submit(living[0], {id: first, count: 16, taskMs: 4000});
	await waitUntil(() => countRuns(first) === 16, 10_000);
	await submit(living[0], {id: second, count: 4, taskMs: 15_000});
	await delay(500);
	configure('billing');
	await waitUntil(() => countRuns(second) === 4, 10_000);
	await waitUntil(() => countRuns(first) === 0, 10_000);
	configure('planner');
	await delay(3000);
	if (isTroubled) {
		const owner = living.find(({name}) => name === JSON.parse(store.read(ownerKey)).instance);
		const cut = workers.find(worker => worker.running.some(([task]) => task.startsWith(second)));
		recorder.write({
			type: 'trouble', killed: owner.name, cut: cut.id, running: cut.running,
		});
		cut.isCut = true;
		owner.child.kill('SIGKILL');
		const healing = delay(cutMs);
		await delay(restartMs);
		await deployment.startFront({
			name: `${owner.name}x`, zone: owner.zone, store: store.address, cloud: cloud.address,
		});
		await healing;
		cut.isCut = false;
	}

	await waitUntil(() => countRuns(second) === 0, 40_000);
	await delay(1000);
}

async function play() {
	await store.start();
	await cloud.start();
	configure('planner');
	for (let index = 0; index < 2 * workersPerService; index++) {
		const rack = `r${Math.floor(index / workersPerService)}`;
		const zone = index % 2 === 0 ? 'one' : 'two';
		const worker = new Worker({
			store, record, machine: `m${index}`, zone, rack, capacity,
		});
		workers.push(worker);
		await cloud.add({
			worker, pool: index < workersPerService ? 'planner' : 'billing', zone, rack, capacity,
		});
	}

	for (const zone of ['one', 'two', 'three']) {
		await deployment.startFront({
			name: `front-${zone}`, zone, store: store.address, cloud: cloud.address,
		});
	}

	await delay(3000);
	for (let number = 1; number <= rounds; number++) {
		await playRound(number);
	}

	recorder.write({type: 'result', breaches: breaches.length});
	process.stdout.write(`${breaches.length} tasks were started while another run of theirs went on\n`);
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
