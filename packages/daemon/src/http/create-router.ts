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

async function handleSubmission(host: Host, node: Node, submission: Submission): Promise<void> {
	const {request, response, queue} = submission;
	if (host.draining) {
		response.setHeader('connection', 'close');
	}

	const id = randomUUID();
	const bodyLimitBytes = node.snapshot.catalogue.queues[queue]?.limits.bodyBytes ?? maximumBodyBytes;
	const result = await readRequest(request, {id, queue, bodyLimitBytes});
	if (!result.ok) {
		host.metrics.count(`refusal.${result.reason}`);
		host.logger.log('request-malformed', {requestId: id, reason: result.reason});
		// On a connection that is kept open, the unread rest of the body would be parsed as the next request.
		response.setHeader('connection', 'close');
		writeProblem(response, {reason: result.reason, execution: 'not run', detail: result.detail}, {requestId: id});
		return;
	}

	host.pendingRequests.set(id, {response, body: result.body, contentType: request.headers['content-type'] ?? 'application/octet-stream'});
	response.once('close', () => {
		if (host.pendingRequests.delete(id)) {
			host.metrics.count('refusal.caller-gone');
			host.dispatch({type: 'request-cancelled', at: host.now(), taskId: id});
		}
	});
	host.dispatch({type: 'request-arrived', at: host.now(), arrival: result.arrival});
}

/**
 * Creates the router for callers' requests and health checks.
 *
 * @param host - state and clients that the effect handlers share
 * @param node - state of the reducer, read only
 * @returns the router
 * @example
 * const router = createRouter(host, node);
 * createServer((request, response) => router.lookup(request, response));
 */
export function createRouter(host: Host, node: Node): Router {
	const router = findMyWay({
		defaultRoute(_request, response) {
			writeJson(response, 404, {type: 'about:blank', title: 'Not Found', status: 404});
		},
	});
	router.on('POST', '/queues/:queue', (request, response, parameters) => {
		void handleSubmission(host, node, {request, response, queue: parameters.queue ?? ''});
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
