import {randomUUID} from 'node:crypto';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import findMyWay, {type Instance, type HTTPVersion} from 'find-my-way';
import {maximumBodyBytes} from '@rosemaryquay/core/constants';
import {type Node} from '@rosemaryquay/core/node/node';
import {isFresh} from '@rosemaryquay/core/freshness/is-fresh';
import {type EffectContext} from '../effect-context.js';
import {readRequest} from './read-request.js';
import {writeProblem} from './write-problem.js';

type Router = Instance<HTTPVersion.V1>;

function writeJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify(body));
}

type Submission = {readonly request: IncomingMessage; readonly response: ServerResponse; readonly queue: string};

async function handleSubmission(context: EffectContext, node: Node, submission: Submission): Promise<void> {
	const {request, response, queue} = submission;
	if (context.draining) {
		response.setHeader('connection', 'close');
	}

	const id = randomUUID();
	const bodyLimitBytes = node.snapshot.catalogue.queues[queue]?.limits.bodyBytes ?? maximumBodyBytes;
	const result = await readRequest(request, {id, queue, bodyLimitBytes});
	if (!result.ok) {
		context.metrics.count(`refusal.${result.reason}`);
		context.logger.log('request-malformed', {requestId: id, reason: result.reason});
		// On a connection that is kept open, the unread rest of the body would be parsed as the next request.
		response.setHeader('connection', 'close');
		writeProblem(response, {reason: result.reason, execution: 'not run', detail: result.detail}, {requestId: id});
		return;
	}

	context.pendingRequests.set(id, {response, body: result.body, contentType: request.headers['content-type'] ?? 'application/octet-stream'});
	response.once('close', () => {
		if (context.pendingRequests.delete(id)) {
			context.metrics.count('refusal.caller-gone');
			context.dispatch({type: 'request-cancelled', at: context.now(), taskId: id});
		}
	});
	context.dispatch({type: 'request-arrived', at: context.now(), arrival: result.arrival});
}

/**
 * Creates the router for callers' requests and health checks.
 *
 * @param context - state and clients that the effect handlers share
 * @param node - state of the reducer, read only
 * @returns the router
 * @example
 * const router = createRouter(context, node);
 * createServer((request, response) => router.lookup(request, response));
 */
export function createRouter(context: EffectContext, node: Node): Router {
	const router = findMyWay({
		defaultRoute(_request, response) {
			writeJson(response, 404, {type: 'about:blank', title: 'Not Found', status: 404});
		},
	});
	router.on('POST', '/queues/:queue', (request, response, parameters) => {
		void handleSubmission(context, node, {request, response, queue: parameters.queue ?? ''});
	});
	router.on('GET', '/health/live', (_request, response) => {
		writeJson(response, 200, {status: 'live'});
	});
	router.on('GET', '/health/ready', (_request, response) => {
		const ready = !context.draining && !node.tasks.shuttingDown && isFresh(node, context.now());
		writeJson(response, ready ? 200 : 503, {status: ready ? 'ready' : 'not ready', revision: node.snapshot.revision});
	});
	return router;
}
