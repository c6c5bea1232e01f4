import {Buffer} from 'node:buffer';
import {hash} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {LRUCache} from 'lru-cache';
import {type Arrival} from '@rosemaryquay/core/node/event';
import {type Reason} from '@rosemaryquay/core/refusal';

/** A completely read request, or why it was refused. */
export type RequestReadResult =
	| {readonly ok: true; readonly arrival: Arrival; readonly body: Uint8Array}
	| {readonly ok: false; readonly reason: Reason; readonly detail: string};

const maximumIdempotencyKeyLength = 255;
/**
 * Largest body that is fingerprinted when the request has no idempotency key. Without a fingerprint, repetitions of a
 * request that failed on several workers are not recognised and refused.
 */
const maximumFingerprintedBytes = 65_536;

const bearerPattern = /^bearer (?<key>[\w\-.~+/]{16,200}=*)$/i;
const emptyBody = new Uint8Array();

/** Hashes of recently presented API keys; hashing the key of every request would take a tenth of the processing time of a request. */
const apiKeyHashes = new LRUCache<string, string>({max: 1000});

function hashApiKey(apiKey: string): string {
	let keyHash = apiKeyHashes.get(apiKey);
	if (keyHash === undefined) {
		keyHash = hash('sha256', apiKey);
		apiKeyHashes.set(apiKey, keyHash);
	}

	return keyHash;
}

async function readBody(request: IncomingMessage, limitBytes: number): Promise<Uint8Array | 'too-large' | 'incomplete'> {
	const {'content-length': contentLength, 'transfer-encoding': transferEncoding} = request.headers;
	if (contentLength === undefined && transferEncoding === undefined) {
		return emptyBody;
	}

	if (Number(contentLength) > limitBytes) {
		return 'too-large';
	}

	return new Promise(resolve => {
		const failIncomplete = (): void => {
			resolve('incomplete');
		};

		const chunks: Uint8Array[] = [];
		let receivedBytes = 0;
		request.on('data', (chunk: Uint8Array) => {
			receivedBytes += chunk.length;
			if (receivedBytes > limitBytes) {
				resolve('too-large');
				return;
			}

			chunks.push(chunk);
		});
		request.once('end', () => {
			resolve(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks));
		});
		request.once('close', failIncomplete);
		request.once('error', failIncomplete);
	});
}

function parseDeadline(header: string | string[] | undefined): number | 'invalid' | undefined {
	if (header === undefined) {
		return undefined;
	}

	const value = Number(header);
	return Number.isSafeInteger(value) && value > 0 ? value : 'invalid';
}

/**
 * Reads a caller's request: API key, idempotency key, deadline and the complete body.
 *
 * @param request - the incoming message
 * @param options - identifier of the request, name of the queue, largest body in bytes
 * @returns the request, or the reason and detail of a refusal
 * @example
 * const result = await readRequest(request, {id: 'r-1', queue: 'mail', bodyLimitBytes: 1024});
 */
export async function readRequest(request: IncomingMessage, options: {id: string; queue: string; bodyLimitBytes: number}): Promise<RequestReadResult> {
	const {id, queue, bodyLimitBytes} = options;
	const {authorization, 'idempotency-key': idempotencyKey} = request.headers;
	const apiKey = authorization === undefined ? undefined : bearerPattern.exec(authorization)?.groups?.key;
	if (authorization !== undefined && apiKey === undefined) {
		return {ok: false, reason: 'header-invalid', detail: 'Authorization must be "Bearer" and a key of at least 16 characters'};
	}

	const deadlineMs = parseDeadline(request.headers['rosemaryquay-deadline-ms']);
	if (deadlineMs === 'invalid') {
		return {ok: false, reason: 'header-invalid', detail: 'Rosemaryquay-Deadline-Ms must be a positive integer'};
	}

	if (Array.isArray(idempotencyKey) || (idempotencyKey !== undefined && (idempotencyKey === '' || idempotencyKey.length > maximumIdempotencyKeyLength))) {
		return {ok: false, reason: 'header-invalid', detail: `Idempotency-Key must have 1 to ${maximumIdempotencyKeyLength} characters`};
	}

	const body = await readBody(request, bodyLimitBytes);
	if (body === 'too-large') {
		return {ok: false, reason: 'body-too-large', detail: `The limit is ${bodyLimitBytes} bytes`};
	}

	if (body === 'incomplete') {
		return {ok: false, reason: 'body-incomplete', detail: 'The connection ended before the body did'};
	}

	return {
		ok: true,
		body,
		arrival: {
			id,
			queue,
			bodyBytes: body.length,
			...(apiKey !== undefined && {keyHash: hashApiKey(apiKey)}),
			...(deadlineMs !== undefined && {deadlineMs}),
			...(idempotencyKey !== undefined && {idempotencyKey}),
			...((idempotencyKey !== undefined || body.length <= maximumFingerprintedBytes) && {fingerprint: hash('sha256', body)}),
		},
	};
}
