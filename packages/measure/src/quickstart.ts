/**
 * `npm run quickstart`: an embedded platform with workers and one daemon on loopback, and a few requests.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {WorkerServer} from '@rosemaryquay/testing/worker-server';
import {listUsers, loadUser, type User} from './load-user.js';
import {startDaemon} from './processes/start-daemon.js';
import {startPlatform} from './processes/start-platform.js';

const {values} = parseArgs({options: {once: {type: 'boolean', default: false}}});

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

async function startWorkers(user: User): Promise<{instances: ListedInstance[]; stop(): Promise<void>}> {
	const workers: WorkerServer[] = [];
	const instances: ListedInstance[] = [];
	for (const instance of user.instances) {
		const worker = new WorkerServer();
		await worker.start();
		workers.push(worker);
		instances.push({...instance, address: worker.address});
	}

	return {
		instances,
		async stop() {
			await Promise.all(workers.map(async worker => worker.stop()));
		},
	};
}

async function submit(url: string, options: {queue: string; key?: string; body: string}): Promise<void> {
	const {queue, key, body} = options;
	const response = await request(`${url}/queues/${queue}`, {
		method: 'POST',
		headers: {'content-type': 'text/plain', ...(key !== undefined && {authorization: `Bearer ${key}`})},
		body,
	});
	print(`POST /queues/${queue} as ${key ?? 'nobody'}: ${response.statusCode} ${await response.body.text()}`);
}

const [name = ''] = listUsers();
const user = loadUser(name);
const workers = await startWorkers(user);
const platform = await startPlatform(user.catalogue, workers.instances);
const daemon = await startDaemon(platform, {instance: 'entry-1', zone: user.fleet.zones[0] ?? ''});
print(`The daemon serves the example "${user.name}" on ${daemon.url} with ${workers.instances.length} workers`);

const [first = '', second = ''] = Object.keys(user.catalogue.teams);
const queue_ = Object.entries(user.catalogue.queues).find(([, queue]) => !queue.open);
const [queue = ''] = queue_ ?? [];
await submit(daemon.url, {queue, key: `example-key-${first}`, body: `hello from ${first}`});
await submit(daemon.url, {queue, key: `example-key-${second}`, body: `hello from ${second}`});
await submit(daemon.url, {queue, key: 'example-key-unknown', body: 'refused'});

if (!values.once) {
	print('Press Ctrl-C to stop');
	await new Promise<void>(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}

const code = await daemon.stop();
await platform.stop();
await workers.stop();
process.exitCode = code ?? 1;
