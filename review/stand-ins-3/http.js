/** Small helpers for HTTP servers and clients on loopback. */
import {Buffer} from 'node:buffer';
import {createServer, request as sendRequest} from 'node:http';

/**
 * Starts an HTTP server on a loopback address.
 *
 * @param handler - handles each request
 * @param port - port to listen on; 0 for a free one
 * @returns address, port, and a function that stops the server and resets its connections
 */
export async function listenOn(handler, port = 0) {
	const sockets = new Set();
	const server = createServer({keepAliveTimeout: 120_000}, handler);
	server.on('connection', socket => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, '127.0.0.1', resolve);
	});
	const bound = server.address().port;
	return {
		address: `127.0.0.1:${bound}`,
		port: bound,
		async stop() {
			const closed = new Promise(resolve => {
				server.close(resolve);
			});
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}

			await closed;
		},
	};
}

/** Reads the JSON body of a request; an empty object if there is none. */
export async function readJson(stream) {
	const chunks = [];
	try {
		for await (const chunk of stream) {
			chunks.push(chunk);
		}

		return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'));
	} catch {
		return {};
	}
}

/** Sends a JSON answer. */
export function sendJson(response, status, body) {
	if (response.destroyed) {
		return;
	}

	const text = body === undefined ? '' : JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

/**
 * Sends a request and waits for its answer.
 *
 * @param options - address, method, path, headers, body and time limit
 * @returns status and body; status 0 if there was no complete answer
 */
export async function call({address, method, path, headers = {}, body, limitMs}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const request = sendRequest({
			host, port, method, path, headers, agent: false,
		}, async response => {
			const answer = await readJson(response);
			clearTimeout(timer);
			resolve({status: response.complete ? response.statusCode : 0, body: answer});
		});
		const timer = setTimeout(() => {
			request.destroy();
			resolve({status: 0, body: {}});
		}, limitMs);
		request.once('error', () => {
			clearTimeout(timer);
			resolve({status: 0, body: {}});
		});
		request.end(body === undefined ? undefined : JSON.stringify(body));
	});
}
