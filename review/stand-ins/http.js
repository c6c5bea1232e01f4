/**
 * Small HTTP helpers of the stand-ins: a JSON server that can be closed with all its connections, and a JSON client.
 */
import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';

/** Reads the whole body of a request or a response. */
export async function readText(stream) {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

/**
 * Starts a server on a free port of a loopback address.
 *
 * @param host - the loopback address
 * @param handle - gets method, path, headers and the parsed body, and resolves to `{status, body}`; no answer is sent for `undefined`
 * @param port - the port; 0 for a free one
 * @returns its address, and a function that closes it and all of its connections
 */
export async function serveJson(host, handle, port = 0) {
	const server = createServer({keepAliveTimeout: 90_000}, async (incoming, response) => {
		try {
			const text = await readText(incoming);
			const answer = await handle({
				method: incoming.method, url: new URL(incoming.url, 'http://stand-in'), headers: incoming.headers, body: text === '' ? {} : JSON.parse(text),
			});
			if (answer !== undefined && !response.destroyed) {
				response.writeHead(answer.status, {'content-type': 'application/json'});
				response.end(answer.body === undefined ? '' : JSON.stringify(answer.body));
			}
		} catch {
			// The connection ended while the request was read.
			response.destroy();
		}
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/**
 * Sends a request with a JSON body on a connection of its own.
 *
 * @returns status and parsed body; status 0 if no whole answer arrived in time
 */
export async function callJson({
	address, method, path, headers = {}, body, timeoutMs = 3000,
}) {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const sent = request({
			host, port, method, path, headers, agent: false, timeout: timeoutMs,
		}, async response => {
			try {
				const text = await readText(response);
				resolve({status: response.statusCode, body: text === '' ? undefined : JSON.parse(text), headers: response.headers});
			} catch {
				resolve({status: 0});
			}
		});
		const timer = setTimeout(() => {
			sent.destroy();
		}, timeoutMs);
		sent.once('error', () => {
			resolve({status: 0});
		});
		sent.once('close', () => {
			clearTimeout(timer);
			resolve({status: 0});
		});
		sent.end(body === undefined ? undefined : JSON.stringify(body));
	});
}

/** Finds a port that is free on a loopback address. */
export async function findFreePort(host) {
	const server = createServer();
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}
