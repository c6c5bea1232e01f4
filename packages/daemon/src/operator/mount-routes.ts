import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type HTTPVersion, type Instance} from 'find-my-way';
import {type Snapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {type Logger} from '../create-logger.js';
import {authenticateOperator} from './authenticate-operator.js';
import {type OperatorRequest, type OperatorResponse, type OperatorRoute} from './operator-request.js';

type MountOptions = {
	readonly routes: readonly OperatorRoute[];
	readonly logger: Logger;
	readonly operators?: Readonly<Record<string, string>>;
	snapshot(): Snapshot;
};

const maximumBodyBytes = 1024 * 1024;

async function readJson(request: IncomingMessage): Promise<{ok: true; body: unknown} | {ok: false; status: number; title: string}> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > maximumBodyBytes) {
				return {ok: false, status: 413, title: `The body exceeds ${maximumBodyBytes} bytes`};
			}

			chunks.push(chunk);
		}

		return {ok: true, body: size === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString())};
	} catch {
		return {ok: false, status: 400, title: 'The body is not valid JSON'};
	}
}

function writeResponse(response: ServerResponse, {status, body}: OperatorResponse): void {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': status < 400 ? 'application/json' : 'application/problem+json', 'content-length': Buffer.byteLength(text)}).end(text);
}

function problem(status: number, title: string): OperatorResponse {
	return {status, body: {type: 'about:blank', title, status}};
}

async function handleRequest(options: MountOptions, route: OperatorRoute, request: IncomingMessage, parameters: OperatorRequest['parameters']): Promise<OperatorResponse> {
	const {logger, operators = {}, snapshot} = options;
	const operator = authenticateOperator(request.headers.authorization, snapshot(), {operators});
	if (operator === undefined) {
		logger.log('operator-refused', {method: route.method, path: route.path, remote: request.socket.remoteAddress});
		return problem(401, 'An operator key is required');
	}

	const read = await readJson(request);
	if (!read.ok) {
		return problem(read.status, read.title);
	}

	const response = await route.handler({operator, parameters, body: read.body});
	if (route.method !== 'GET') {
		logger.log('operator-act', {
			operator, method: route.method, path: request.url, status: response.status,
		});
	}

	return response;
}

/**
 * Mounts the operator API on a router. Every request is authenticated, and every request other than GET is logged with
 * operator, method, path and status.
 *
 * @param router - the router
 * @param options - routes, logger, operators from the settings, and a function that returns the current catalogue
 * @example
 * mountRoutes(router, {routes, logger, snapshot: () => node.snapshot});
 */
export function mountRoutes(router: Instance<HTTPVersion.V1>, options: MountOptions): void {
	for (const route of options.routes) {
		router.on(route.method, route.path, async (request, response, parameters) => {
			try {
				writeResponse(response, await handleRequest(options, route, request, parameters));
			} catch (error) {
				options.logger.log('operator-failed', {path: request.url, error: error instanceof Error ? error.stack : String(error)});
				writeResponse(response, problem(500, 'The request could not be handled'));
			}
		});
	}
}
