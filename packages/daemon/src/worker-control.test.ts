import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {after, test} from 'node:test';
import {WorkerServer} from '@rosemaryquay/testing/worker-server';
import {type AttemptResult, WorkerClient} from './worker-client.js';

const worker = new WorkerServer({slots: 1, serviceTimeMs: 200});
const maximumTries = 1000;
const client = new WorkerClient({holder: 'entry-1'});
await worker.start();
after(async () => {
	await client.close();
	await worker.stop();
});

async function start(attemptId: string, resumes?: string): Promise<AttemptResult> {
	return client.start({
		attemptId, address: worker.address, contentType: 'text/plain', body: Buffer.from('body'), timeoutMs: 5000, ...(resumes !== undefined && {resumes}),
	});
}

/** Asks until the worker has begun the attempt. */
async function until(ask: () => Promise<boolean>): Promise<void> {
	for (let tries = 0; tries < maximumTries; tries++) {
		if (await ask()) {
			return;
		}
	}

	assert.fail('The worker did not begin the attempt');
}

test('resumes a checkpointed attempt once, which a second resumption would run twice', async () => {
	const first = start('a-1');
	await until(async () => client.checkpoint(worker.address, 'a-1'));
	assert.deepEqual(await first, {outcome: {type: 'checkpointed'}});
	const resumed = await start('a-2', 'a-1');
	assert.equal(resumed.outcome.type, 'succeeded');
	assert.deepEqual(await start('a-3', 'a-1'), {outcome: {type: 'not-started', cause: 'checkpoint-unknown'}});
});

test('frees the slot of a throttled attempt, which urgent work would otherwise wait for', async () => {
	const throttled = start('b-1');
	await until(async () => client.throttle(worker.address, 'b-1', 5000));
	const urgent = await start('b-2');
	assert.equal(urgent.outcome.type, 'succeeded');
	const {outcome} = await throttled;
	assert.equal(outcome.type, 'succeeded');
	assert.equal(await client.checkpoint(worker.address, 'b-1'), false);
});
