import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import findMyWay, {type Instance, type HTTPVersion} from 'find-my-way';
import {maximumBodyBytes} from '@rosemaryquay/core/constants';
import {type Node} from '@rosemaryquay/core/node/node';
import {isFresh} from '@rosemaryquay/core/freshness/is-fresh';
import {type Host} from '../host.js';
import {readRequest} from './read-request.js';
import {writeProblem} from './write-problem.js';

type Router = Instance<HTTPVersion.V1>;

function writeJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}

type Submission = {readonly request: IncomingMessage; readonly response: ServerResponse; readonly queue: string};

async function submit(host: Host, node: Node, submission: Submission): Promise<void> {
	const {request, response, queue} = submission;
	if (host.draining) {
		response.setHeader('connection', 'close');
	}

	const id = randomUUID();
	const bodyBytes = node.snapshot.catalogue.queues[queue]?.limits.bodyBytes ?? maximumBodyBytes;
	const read = await readRequest(request, {id, queue, bodyBytes});
	if (!read.ok) {
		host.metrics.count(`refusal.${read.reason}`);
		host.logger.log('request-malformed', {requestId: id, reason: read.reason});
		// The rest of an unread body would be taken for the next request.
		response.setHeader('connection', 'close');
		writeProblem(response, {reason: read.reason, execution: 'not run', detail: read.detail}, {requestId: id});
		return;
	}

	host.exchanges.set(id, {response, body: read.body, contentType: request.headers['content-type'] ?? 'application/octet-stream'});
	response.once('close', () => {
		if (host.exchanges.delete(id)) {
			host.metrics.count('refusal.caller-gone');
			host.dispatch({type: 'request-cancelled', at: host.now(), taskId: id});
		}
	});
	host.dispatch({type: 'request-arrived', at: host.now(), arrival: read.arrival});
}

/**
 * Creates the router for callers and health checks.
 *
 * @param host - the host
 * @param node - the node, read only
 * @returns the router
 * @example
 * createServer((request, response) => createRouter(host, node).lookup(request, response));
 */
export function createRouter(host: Host, node: Node): Router {
	const router = findMyWay({
		defaultRoute(_request, response) {
			writeJson(response, 404, {type: 'about:blank', title: 'Not Found', status: 404});
		},
	});
	router.on('POST', '/queues/:queue', (request, response, parameters) => {
		void submit(host, node, {request, response, queue: parameters.queue ?? ''});
	});
	router.on('GET', '/health/live', (_request, response) => {
		writeJson(response, 200, {status: 'live'});
	});
	router.on('GET', '/health/ready', (_request, response) => {
		const ready = !host.draining && !node.tasks.shuttingDown && isFresh(node, host.now());
		writeJson(response, ready ? 200 : 503, {status: ready ? 'ready' : 'not ready', revision: node.snapshot.revision});
	});
	return router;
}
