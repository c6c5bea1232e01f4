import {type Server} from 'node:http';

/**
 * Finds the port that a server listens on.
 *
 * @param server - the server
 * @returns the port; 0 while the server is not listening
 * @example
 * findPort(server);
 */
export function findPort(server: Server): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}
