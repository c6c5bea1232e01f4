import {type Server} from 'node:http';

/**
 * Makes a server listen.
 *
 * @param server - the server
 * @param address - where; port 0 for any free one
 * @returns resolves once it listens; rejects when the address cannot be used
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
