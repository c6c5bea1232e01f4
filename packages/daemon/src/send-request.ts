import {Buffer} from 'node:buffer';
import {type Dispatcher} from 'undici';

/** A complete response with its body in memory. */
export type BufferedResponse = {
	readonly status: number;
	readonly headers: Record<string, string | string[] | undefined>;
	readonly body: Uint8Array;
};

/** Thrown when the body of a response exceeds its size limit. */
export class ResponseTooLargeError extends Error {
	override readonly name = 'ResponseTooLargeError';
}

/**
 * Sends a request and buffers the complete response. It uses undici's dispatch interface, because creating
 * a stream and an abort signal for each request costs more than the rest of an attempt.
 *
 * @param dispatcher - connection pool of the server
 * @param request - the request
 * @param options - largest body in bytes, a callback that receives the function that aborts the request, and one that is called whenever a part of the response arrives
 * @returns the response
 * @throws {ResponseTooLargeError} when the body exceeds the limit
 * @example
 * const response = await sendRequest(pool, {path: '/tasks', method: 'POST', body}, {bodyBytes: 1024});
 */
export async function sendRequest(dispatcher: Dispatcher, request: Dispatcher.DispatchOptions, options: {bodyBytes: number; onStart?: (abort: () => void) => void; onProgress?: () => void}): Promise<BufferedResponse> {
	const {bodyBytes, onStart, onProgress} = options;
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let receivedBytes = 0;
		let status = 0;
		let headers: BufferedResponse['headers'] = {};
		dispatcher.dispatch(request, {
			onRequestStart(controller) {
				onStart?.(() => {
					controller.abort(new Error('The request was aborted'));
				});
			},
			onResponseStart(_controller, statusCode, responseHeaders) {
				status = statusCode;
				headers = responseHeaders;
				onProgress?.();
			},
			onResponseData(controller, chunk) {
				receivedBytes += chunk.length;
				if (receivedBytes > bodyBytes) {
					controller.abort(new ResponseTooLargeError(`The response exceeds ${bodyBytes} bytes`));
					return;
				}

				chunks.push(chunk);
				onProgress?.();
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
