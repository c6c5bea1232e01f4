/**
 * Runs the stand-in of the instance service as a process. It lists no instances and refuses orders.
 */
import process from 'node:process';
import {startServer} from '../start-server.js';

const server = await startServer((request, response) => {
	response.writeHead(request.method === 'GET' ? 200 : 400, {'content-type': 'application/json'});
	response.end(request.method === 'GET' ? '{"machines":[],"next_token":null}' : '{}');
});
process.once('disconnect', () => {
	process.exit(0);
});
process.send?.({type: 'listening', address: new URL(server.url).host});
