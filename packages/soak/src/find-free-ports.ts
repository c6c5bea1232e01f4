import {once} from 'node:events';
import {createServer} from 'node:net';

/** Ports below the range from which the system draws ports of outgoing connections, so that a port stays free while its process restarts. */
const firstPort = 21_000;
const lastPort = 29_999;

/**
 * Finds free ports on loopback.
 *
 * @param count - number of ports
 * @param options - `offset` from which to search, so that runs at the same time search in different places
 * @returns the ports, none of which is listened on
 * @example
 * await findFreePorts(3, {offset: process.pid});
 */
export async function findFreePorts(count: number, options: {offset?: number} = {}): Promise<number[]> {
	const {offset = 0} = options;
	const ports: number[] = [];
	for (let port = firstPort + (offset % (lastPort - firstPort - (2 * count))); ports.length < count; port++) {
		if (port > lastPort) {
			throw new Error(`Fewer than ${count} ports up to ${lastPort} are free`);
		}

		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	const server = createServer().listen(port, '127.0.0.1');
	try {
		await once(server, 'listening');
		return true;
	} catch {
		return false;
	} finally {
		server.close();
	}
}
