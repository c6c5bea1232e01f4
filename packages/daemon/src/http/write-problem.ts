import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Refusal, refusals} from '@rosemaryquay/core/refusal';

/**
 * Answers a request with an RFC 9457 problem document.
 *
 * @param response - the response, of which nothing has been sent
 * @param refusal - why the request is refused
 * @param options - identifier of the request
 * @example
 * writeProblem(response, {reason: 'queue-full', execution: 'not run'}, {requestId: 'r-1'});
 */
export function writeProblem(response: ServerResponse, refusal: Refusal, options: {requestId: string}): void {
	const {requestId} = options;
	const definition: {status: number; title: string; retryAfterSeconds?: number} = refusals[refusal.reason];
	const body = JSON.stringify({
		type: `urn:rosemaryquay:refusal:${refusal.reason}`,
		title: definition.title,
		status: definition.status,
		...(refusal.detail !== undefined && {detail: refusal.detail}),
		reason: refusal.reason,
		execution: refusal.execution,
		requestId,
	});
	response.writeHead(definition.status, {
		'content-type': 'application/problem+json',
		'content-length': Buffer.byteLength(body),
		'rosemaryquay-request-id': requestId,
		...(definition.retryAfterSeconds !== undefined && {'retry-after': String(definition.retryAfterSeconds)}),
	});
	response.end(body);
}
