import {createServer, type RequestListener, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';

/** An HTTP server listening on loopback; `close` also closes its open connections. */
export type ListeningServer = {
	readonly server: Server;
	readonly url: string;
	close(): Promise<void>;
};

/**
 * Starts an HTTP server on loopback.
 *
 * @param listener - handles each request
 * @param options - `port`, 0 for a free one
 * @returns the listening server
 * @example
 * const {url, close} = await startServer((request, response) => response.end());
 */
export async function startServer(listener: RequestListener, options: {port?: number} = {}): Promise<ListeningServer> {
	const {port = 0} = options;
	const server = createServer(listener);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	const address = server.address() as AddressInfo;
	return {
		server,
		url: `http://127.0.0.1:${address.port}`,
		async close() {
			const closed = new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
			server.closeAllConnections();
			await closed;
		},
	};
}
