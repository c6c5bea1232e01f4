import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect as connectTcp} from 'node:net';
import {test, type TestContext} from 'node:test';
import {connect} from 'node:tls';
import {type Message} from '@rosemaryquay/core/membership/message';
import {createTlsOptions} from './create-tls-options.js';
import {encodeFrame} from './encode-frame.js';
import {PeerHub, type PeerCounter} from './peer-hub.js';

const secret = 'a shared secret of at least 32 characters';

type TestHub = {readonly hub: PeerHub; readonly received: Array<{sender: string; message: Message}>; readonly counters: PeerCounter[]; waitForEvent(): Promise<void>};

async function startHub(context: TestContext, memberId: string, options: {secret?: string} = {}): Promise<TestHub> {
	const received: Array<{sender: string; message: Message}> = [];
	const counters: PeerCounter[] = [];
	const waiters: Array<() => void> = [];
	const notifyWaiters = (): void => {
		for (const resolve of waiters.splice(0)) {
			resolve();
		}
	};

	const hub = new PeerHub({
		memberId,
		zone: 'zone-a',
		secret,
		host: '127.0.0.1',
		...options,
		onMessage(sender, message) {
			received.push({sender, message});
			notifyWaiters();
		},
		count(counter) {
			counters.push(counter);
			notifyWaiters();
		},
	});
	await hub.start();
	context.after(async () => hub.stop());
	return {
		hub, received, counters, async waitForEvent() {
			await new Promise<void>(resolve => {
				waiters.push(resolve);
			});
		},
	};
}

const message: Message = {type: 'leaving', member: 'entry-1', revision: 3};

async function sendUntilReceived(sender: TestHub, receiver: TestHub, memberId: string): Promise<void> {
	const interval = setInterval(() => {
		sender.hub.send(memberId, message);
	}, 5);
	await receiver.waitForEvent();
	clearInterval(interval);
}

test('delivers messages between peers with the same secret', async context => {
	const first = await startHub(context, 'entry-1');
	const second = await startHub(context, 'entry-2');
	first.hub.setPeers([{memberId: 'entry-2', host: '127.0.0.1', port: second.hub.port}]);
	await sendUntilReceived(first, second, 'entry-2');
	assert.deepEqual(second.received[0], {sender: 'entry-1', message});
});

test('rejects a peer with a different secret', async context => {
	const first = await startHub(context, 'entry-1', {secret: 'another secret of at least 32 characters'});
	const second = await startHub(context, 'entry-2');
	first.hub.setPeers([{memberId: 'entry-2', host: '127.0.0.1', port: second.hub.port}]);
	await second.waitForEvent();
	assert.deepEqual([second.counters[0], second.received], ['peer.authentication-failed', []]);
});

// Guards against invalid input of hostile or outdated peers that reaches `onMessage` or crashes the process.
const invalidInputs: ReadonlyArray<{name: string; frames: readonly Uint8Array[]; counter: PeerCounter}> = [
	{name: 'message before the hello', frames: [encodeFrame(message)], counter: 'peer.frame-invalid'},
	{
		name: 'unsupported protocol version', counter: 'peer.version-unsupported', frames: [encodeFrame({
			type: 'hello', versions: [99], member: 'x', zone: 'z',
		})],
	},
	{
		name: 'message that does not match the schema', counter: 'peer.message-invalid', frames: [encodeFrame({
			type: 'hello', versions: [1], member: 'x', zone: 'z',
		}), encodeFrame({type: 'summary', member: 7})],
	},
	{name: 'frame above the size limit', counter: 'peer.frame-too-large', frames: [Buffer.from([0xFF, 0xFF, 0xFF, 0xFF])]},
];

for (const {name, frames, counter} of invalidInputs) {
	test(`drops and counts invalid input: ${name}`, async context => {
		const target = await startHub(context, 'entry-1');
		const socket = connect({...createTlsOptions(secret).client, host: '127.0.0.1', port: target.hub.port});
		socket.on('error', () => undefined);
		await once(socket, 'secureConnect');
		const counted = target.waitForEvent();
		for (const frame of frames) {
			socket.write(frame);
		}

		await counted;
		socket.destroy();
		assert.deepEqual([target.counters, target.received], [[counter], []]);
	});
}

test('rejects a connection without TLS', async context => {
	const target = await startHub(context, 'entry-1');
	const counted = target.waitForEvent();
	const socket = connectTcp(target.hub.port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.write(encodeFrame(message));
	await counted;
	socket.destroy();
	assert.deepEqual(target.counters, ['peer.authentication-failed']);
});
