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

async function runAttempt(attemptId: string, resumedAttemptId?: string): Promise<AttemptResult> {
	return client.runAttempt({
		attemptId, address: worker.address, contentType: 'text/plain', body: Buffer.from('body'), timeoutMs: 5000, ...(resumedAttemptId !== undefined && {resumedAttemptId}),
	});
}

/** Repeats a request until the worker accepts it, which it does once the attempt has started. */
async function retryUntilAccepted(sendRequest: () => Promise<boolean>): Promise<void> {
	for (let tries = 0; tries < maximumTries; tries++) {
		if (await sendRequest()) {
			return;
		}
	}

	assert.fail('The worker did not start the attempt');
}

test('resumes a checkpointed attempt at most once, so that no work runs twice', async () => {
	const first = runAttempt('a-1');
	await retryUntilAccepted(async () => client.checkpoint(worker.address, 'a-1'));
	assert.deepEqual(await first, {outcome: {type: 'checkpointed'}});
	const resumed = await runAttempt('a-2', 'a-1');
	assert.equal(resumed.outcome.type, 'succeeded');
	assert.deepEqual(await runAttempt('a-3', 'a-1'), {outcome: {type: 'not-started', cause: 'checkpoint-unknown'}});
});

test('runs another attempt in the slot of a throttled attempt, and cannot checkpoint an attempt after its end', async () => {
	const throttled = runAttempt('b-1');
	await retryUntilAccepted(async () => client.throttle(worker.address, 'b-1', 5000));
	const other = await runAttempt('b-2');
	assert.equal(other.outcome.type, 'succeeded');
	const {outcome} = await throttled;
	assert.equal(outcome.type, 'succeeded');
	assert.equal(await client.checkpoint(worker.address, 'b-1'), false);
});
