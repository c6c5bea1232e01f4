import {type Server} from 'node:http';

/**
 * Finds the port on which a server listens.
 *
 * @param server - the server
 * @returns the port; 0 while it does not listen
 * @example
 * findPort(server);
 */
export function findPort(server: Server): number {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
}
