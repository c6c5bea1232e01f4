import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer} from 'node:net';
import {it} from 'node:test';
import {findFreePorts} from './find-free-ports.js';

it('guards against a port that another program listens on', async () => {
	const [first = 0] = await findFreePorts(1, {offset: 4000});
	const server = createServer();
	server.listen(first, '127.0.0.1');
	await once(server, 'listening');
	const ports = await findFreePorts(2, {offset: first - 21_000});
	assert.ok(!ports.includes(first));
	assert.equal(new Set(ports).size, 2);
	server.close();
});
