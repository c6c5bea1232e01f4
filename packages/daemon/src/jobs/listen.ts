import {type Server} from 'node:http';

/**
 * Starts a server on an address.
 *
 * @param server - the server
 * @param address - host and port to listen on; port 0 selects any free port
 * @returns resolves once the server listens; rejects when the address cannot be used
 * @example
 * await listen(server, {host: '127.0.0.1', port: 0});
 */
export async function listen(server: Server, address: {host: string; port: number}): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			resolve();
		});
	});
}
