import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {type AttemptOutcome} from '@rosemaryquay/core/node/event';
import {WorkerServer, type WorkerFaults} from '@rosemaryquay/testing/worker-server';
import {WorkerClient} from './worker-client.js';

async function startWorker(context: TestContext, options: {slots?: number; serviceTimeMs?: number} = {}): Promise<{worker: WorkerServer; client: WorkerClient}> {
	const worker = new WorkerServer(options);
	await worker.start();
	const client = new WorkerClient({holder: 'entry-1'});
	context.after(async () => {
		await client.close();
		await worker.stop();
	});
	return {worker, client};
}

async function runAttempt(client: WorkerClient, address: string, attemptId: string): Promise<AttemptOutcome> {
	const {outcome} = await client.runAttempt({
		attemptId, address, contentType: 'text/plain', body: Buffer.from('hello'), timeoutMs: 5000,
	});
	return outcome;
}

// Guards against passing on the response of another request, and against retrying work that may have run.
const cases: ReadonlyArray<{name: string; faults: Partial<WorkerFaults>; expected: AttemptOutcome}> = [
	{name: 'no fault', faults: {}, expected: {type: 'succeeded'}},
	{name: 'response of another attempt', faults: {mismatchAnswers: true}, expected: {type: 'lost', cause: 'answer-mismatched'}},
	{name: 'lost response', faults: {loseAnswers: true}, expected: {type: 'lost', cause: 'connection-lost'}},
	{name: 'failed task', faults: {failAll: true}, expected: {type: 'failed', status: 500}},
	{name: 'worker that is leaving', faults: {leaving: true}, expected: {type: 'not-started', cause: 'leaving'}},
];

for (const {name, faults, expected} of cases) {
	test(`classifies the outcome of an attempt: ${name}`, async context => {
		const {worker, client} = await startWorker(context);
		Object.assign(worker.faults, faults);
		assert.deepEqual(await runAttempt(client, worker.address, 'a-1'), expected);
	});
}

test('classifies an attempt that could not be sent as not started', async context => {
	const {worker, client} = await startWorker(context);
	const {address} = worker;
	await worker.stop();
	assert.deepEqual(await runAttempt(client, address, 'a-1'), {type: 'not-started', cause: 'connection-refused'});
});

test('reads the usage of a worker', async context => {
	const {worker, client} = await startWorker(context);
	assert.equal(await client.readUsage(worker.address), 0);
});

async function postTask(worker: WorkerServer, attemptId: string, leaseMs: number): Promise<string> {
	const response = await request(`${worker.address}/tasks`, {
		method: 'POST', headers: {'rosemaryquay-attempt': attemptId, 'rosemaryquay-holder': 'entry-1', 'rosemaryquay-lease-ms': String(leaseMs)}, body: 'hello',
	}).catch(() => undefined);
	await response?.body.dump();
	return response === undefined ? 'stopped' : String(response.headers['rosemaryquay-not-run'] ?? response.statusCode);
}

// Guards against running a task twice: after a pause longer than the lease, another process may have started the same task.
// The refusal is the worker's part of the protocol, which the test worker implements.
test('the test worker refuses the attempts of a holder whose lease has lapsed until the holder renews it', async context => {
	const {worker, client} = await startWorker(context);
	assert.equal(await postTask(worker, 'a-1', 1), '200');
	await delay(20);
	assert.equal(await postTask(worker, 'a-2', 60_000), 'lease-lapsed');
	assert.equal(await client.renewTaskLease(worker.address), true);
	assert.equal(await postTask(worker, 'a-3', 60_000), '200');
	assert.deepEqual(worker.started, ['a-1', 'a-3']);
});

test('the test worker stops running tasks when the lease of their holder lapses', async context => {
	const {worker} = await startWorker(context, {serviceTimeMs: 60_000});
	assert.equal(await postTask(worker, 'a-1', 1), 'stopped');
});

test('a holder that was refused for a lapsed lease renews it before its next attempt', async context => {
	const {worker, client} = await startWorker(context);
	await postTask(worker, 'a-1', 1);
	await delay(20);
	assert.deepEqual(await runAttempt(client, worker.address, 'a-2'), {type: 'not-started', cause: 'lease-lapsed'});
	assert.deepEqual(await runAttempt(client, worker.address, 'a-3'), {type: 'succeeded'});
});
