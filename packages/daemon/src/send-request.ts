import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';

/** A whole response. */
export type WholeResponse = {
	readonly status: number;
	readonly headers: Record<string, string | string[] | undefined>;
	readonly body: Uint8Array;
};

/** Thrown when a response exceeds the limit of its body. */
export class ResponseTooLarge extends Error {
	override readonly name = 'ResponseTooLarge';
}

/**
 * Sends a request and collects the whole response. It uses undici's dispatch interface, since a
 * stream and an abort signal for each request cost more than the rest of an attempt.
 *
 * @param dispatcher - connection pool of the server
 * @param options - the request
 * @param limits - largest body in bytes, and a callback that receives the function that aborts the request
 * @returns the response
 * @throws {ResponseTooLarge} when the body exceeds the limit
 * @example
 * const response = await sendRequest(pool, {path: '/tasks', method: 'POST', body}, {bodyBytes: 1024});
 */
export async function sendRequest(dispatcher: Dispatcher, options: Dispatcher.DispatchOptions, limits: {bodyBytes: number; onStart?: (abort: () => void) => void}): Promise<WholeResponse> {
	const {bodyBytes, onStart} = limits;
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		let status = 0;
		let headers: WholeResponse['headers'] = {};
		dispatcher.dispatch(options, {
			onRequestStart(controller) {
				onStart?.(() => {
					controller.abort(new Error('The attempt was cancelled'));
				});
			},
			onResponseStart(_controller, statusCode, responseHeaders) {
				status = statusCode;
				headers = responseHeaders;
			},
			onResponseData(controller, chunk) {
				size += chunk.length;
				if (size > bodyBytes) {
					controller.abort(new ResponseTooLarge(`The response exceeds ${bodyBytes} bytes`));
					return;
				}

				chunks.push(chunk);
			},
			onResponseEnd() {
				const [first] = chunks;
				resolve({status, headers, body: chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks)});
			},
			onResponseError(_controller, error) {
				reject(error);
			},
		});
	});
}
