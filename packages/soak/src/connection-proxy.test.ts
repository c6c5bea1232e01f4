import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {ConnectionProxy} from './connection-proxy.js';

describe('ConnectionProxy', () => {
	const proxy = new ConnectionProxy();
	const echo = createServer(socket => {
		socket.pipe(socket);
		socket.on('error', () => undefined);
	});

	before(async () => {
		echo.listen(0, '127.0.0.1');
		await once(echo, 'listening');
		await proxy.start();
		proxy.setTarget(`127.0.0.1:${(echo.address() as AddressInfo).port}`);
	});

	after(() => {
		proxy.close();
		echo.close();
	});

	async function open(): Promise<Socket> {
		const socket = connect(Number(proxy.address.split(':')[1]), '127.0.0.1');
		await once(socket, 'connect');
		return socket;
	}

	it('guards against lost bytes: what was held back in either direction arrives after the silence, in order', async () => {
		for (const direction of ['there', 'back'] as const) {
			const socket = await open();
			proxy.changeSilence([direction], 1);
			proxy.changeSilence([direction], 1);
			let received = '';
			socket.on('data', (bytes: Uint8Array) => {
				received += String(bytes);
			});
			socket.write('a');
			socket.write('b');
			proxy.changeSilence([direction], -1);
			await delay(50);
			assert.equal(received, '', 'the other silence still holds');
			proxy.changeSilence([direction], -1);
			while (received.length < 2) {
				await once(socket, 'data');
			}

			assert.equal(received, 'ab');
			socket.destroy();
		}
	});

	it('guards against a reset that the caller does not see', async () => {
		const socket = await open();
		socket.write('a');
		await once(socket, 'data');
		proxy.reset();
		await assert.rejects(once(socket, 'close'), {code: 'ECONNRESET'});
	});
});
