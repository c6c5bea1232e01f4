import assert from 'node:assert/strict';
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import {
	after, before, describe, it,
} from 'node:test';
import {ConnectionProxy} from './connection-proxy.js';

describe('ConnectionProxy', () => {
	const proxy = new ConnectionProxy();
	const echo = createServer(socket => {
		socket.pipe(socket);
		socket.on('error', () => undefined);
	});

	before(async () => {
		await new Promise<void>(resolve => {
			echo.listen(0, '127.0.0.1', resolve);
		});
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
			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
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
		const closed = new Promise<string>(resolve => {
			socket.once('error', ({code}: NodeJS.ErrnoException) => {
				resolve(code ?? '');
			});
		});
		socket.write('a');
		await once(socket, 'data');
		proxy.reset();
		assert.equal(await closed, 'ECONNRESET');
	});
});
