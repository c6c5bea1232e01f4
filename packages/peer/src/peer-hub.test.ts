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

type TestHub = {readonly hub: PeerHub; readonly received: Array<{from: string; message: Message}>; readonly counters: PeerCounter[]; wait(): Promise<void>};

async function startHub(context: TestContext, member: string, options: {secret?: string} = {}): Promise<TestHub> {
	const received: Array<{from: string; message: Message}> = [];
	const counters: PeerCounter[] = [];
	const waiting: Array<() => void> = [];
	const wake = (): void => {
		for (const resolve of waiting.splice(0)) {
			resolve();
		}
	};

	const hub = new PeerHub({
		member,
		zone: 'zone-a',
		secret,
		host: '127.0.0.1',
		...options,
		onMessage(from, message) {
			received.push({from, message});
			wake();
		},
		count(counter) {
			counters.push(counter);
			wake();
		},
	});
	await hub.start();
	context.after(async () => hub.stop());
	return {
		hub, received, counters, async wait() {
			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		},
	};
}

const message: Message = {type: 'leaving', member: 'entry-1', revision: 3};

async function sendUntilReceived(from: TestHub, to: TestHub, member: string): Promise<void> {
	const timer = setInterval(() => {
		from.hub.send(member, message);
	}, 5);
	await to.wait();
	clearInterval(timer);
}

test('delivers messages between peers with the same secret', async context => {
	const one = await startHub(context, 'entry-1');
	const two = await startHub(context, 'entry-2');
	one.hub.setPeers([{member: 'entry-2', host: '127.0.0.1', port: two.hub.port}]);
	await sendUntilReceived(one, two, 'entry-2');
	assert.deepEqual(two.received[0], {from: 'entry-1', message});
});

test('refuses a peer with another secret', async context => {
	const one = await startHub(context, 'entry-1', {secret: 'another secret of at least 32 characters'});
	const two = await startHub(context, 'entry-2');
	one.hub.setPeers([{member: 'entry-2', host: '127.0.0.1', port: two.hub.port}]);
	await two.wait();
	assert.deepEqual([two.counters[0], two.received], ['peer.authentication-failed', []]);
});

// Guards against hostile or outdated peers that reach the reducer or stop the process.
const hostile: ReadonlyArray<{name: string; frames: readonly Uint8Array[]; counter: PeerCounter}> = [
	{name: 'no hello', frames: [encodeFrame(message)], counter: 'peer.frame-invalid'},
	{
		name: 'unknown version', counter: 'peer.version-unsupported', frames: [encodeFrame({
			type: 'hello', versions: [99], member: 'x', zone: 'z',
		})],
	},
	{
		name: 'message outside the schema', counter: 'peer.message-invalid', frames: [encodeFrame({
			type: 'hello', versions: [1], member: 'x', zone: 'z',
		}), encodeFrame({type: 'summary', member: 7})],
	},
	{name: 'oversize frame', counter: 'peer.frame-too-large', frames: [Buffer.from([0xFF, 0xFF, 0xFF, 0xFF])]},
];

for (const {name, frames, counter} of hostile) {
	test(`drops and counts: ${name}`, async context => {
		const target = await startHub(context, 'entry-1');
		const socket = connect({...createTlsOptions(secret).client, host: '127.0.0.1', port: target.hub.port});
		socket.on('error', () => undefined);
		await once(socket, 'secureConnect');
		const counted = target.wait();
		for (const frame of frames) {
			socket.write(frame);
		}

		await counted;
		socket.destroy();
		assert.deepEqual([target.counters, target.received], [[counter], []]);
	});
}

test('refuses a connection without TLS', async context => {
	const target = await startHub(context, 'entry-1');
	const counted = target.wait();
	const socket = connectTcp(target.hub.port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.write(encodeFrame(message));
	await counted;
	socket.destroy();
	assert.deepEqual(target.counters, ['peer.authentication-failed']);
});
