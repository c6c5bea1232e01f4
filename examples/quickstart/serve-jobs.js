/**
 * `npm run quickstart`: starts a fake platform with three workers and two processes of rosemaryquay on loopback,
 * and submits a few jobs.
 * With `--once` it exits after them, otherwise it serves until it is interrupted.
 */
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {request} from 'undici';
import {createLogger} from '@rosemaryquay/daemon/create-logger';
import {FleetProcess} from '@rosemaryquay/daemon/jobs/fleet-process';
import {createPlatform} from '@rosemaryquay/fleet-platform/create-platform';
import {createJob} from '@rosemaryquay/testing/jobs/create-fleet';
import {PlatformHttp} from '@rosemaryquay/testing/jobs/platform-http';

/** Time after which the quickstart fails if a job has not ended. */
const timeoutMs = 20_000;

const pollIntervalMs = 50;
const bounds = {
	longestLeaseMs: 10_000, stopMs: 400, earlyMs: 250, shutdownMs: 4000, keyWithdrawalMs: 5000, configurationMs: 2000,
};
const steps = [
	{count: 3, cpu: 1000, estimated_ms: 100}, // eslint-disable-line camelcase -- the platform's name
	{
		count: 2, cpu: 1000, estimated_ms: 100, after: [0], // eslint-disable-line camelcase -- the platform's name
	},
];

const {values} = parseArgs({options: {once: {type: 'boolean', default: false}}});

function print(line) {
	process.stdout.write(`${line}\n`);
}

async function startProcess(instance, addresses) {
	const address = {host: '127.0.0.1', port: 0};
	const fleet = new FleetProcess({
		settings: {
			instance, availabilityZone: 'east', callers: address, readiness: address, metrics: address, size: {cores: 1, linkMegabitsPerSecond: 1000}, bounds,
		},
		platform: createPlatform(addresses),
		logger: createLogger({name: instance, level: 'warn', stream: process.stderr}),
	});
	await fleet.start();
	return fleet;
}

async function sendRequest(fleet, options) {
	const {method, id = '', key = 'key-north', body} = options;
	const response = await request(`http://127.0.0.1:${fleet.port}/plans/${id}`, {
		method,
		headers: {host: 'jobs.example', authorization: `Bearer ${key}`, 'x-deadline-ms': '3000'},
		body,
	});
	return {status: response.statusCode, text: await response.body.text()};
}

/** Polls until a response satisfies the condition; throws an error with the last response after the time-out. */
async function waitFor(poll, isDone) {
	const deadline = Date.now() + timeoutMs;
	for (;;) {
		const response = await poll();
		if (isDone(response)) {
			return response;
		}

		if (Date.now() > deadline) {
			throw new Error(`Timed out; the last response was ${response.status} ${response.text}`);
		}

		await delay(pollIntervalMs);
	}
}

const platform = new PlatformHttp();
await platform.start();
const processes = await Promise.all(['entry-1', 'entry-2'].map(async instance => startProcess(instance, platform.addresses)));
const [first, second] = processes;
await waitFor(async () => sendRequest(first, {method: 'GET'}), ({status}) => status === 200);
print(`Two processes serve the queue "plans" on http://127.0.0.1:${first.port}/plans/ and http://127.0.0.1:${second.port}/plans/ with ${platform.workers.length} workers`);

for (const id of ['00000000000000a1', '00000000000000a2', '00000000000000a3']) {
	platform.checker.jobAccepted(createJob(id, {steps: steps.map(({count, after = []}) => ({count, after, cpuMillis: 1000}))}));
	const submitted = await sendRequest(first, {method: 'POST', id, body: JSON.stringify({spec: 'hello', steps})});
	print(`POST /plans/${id} at entry-1: ${submitted.status}`);
	const ended = await waitFor(async () => sendRequest(second, {method: 'GET', id}), ({text}) => text.includes('completed'));
	print(`GET /plans/${id} at entry-2: ${ended.status} ${ended.text}`);
}

const refused = await sendRequest(first, {
	method: 'POST', id: '00000000000000a4', key: 'unknown', body: JSON.stringify({spec: '', steps}),
});
print(`POST /plans/00000000000000a4 with an unknown key: ${refused.status} ${refused.text}`);

if (!values.once) {
	print('Press Ctrl-C to stop');
	await new Promise(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}

await Promise.all(processes.map(async fleet => fleet.shutDown()));
await platform.stop();
const {violations} = platform.checker;
if (violations.length > 0 || refused.status !== 401) {
	print(`Violated invariants: ${JSON.stringify(violations)}`);
	process.exitCode = 1;
}
