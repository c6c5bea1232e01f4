import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/**
 * Reads the whole body of a request into memory.
 *
 * @param request - the request
 * @returns the body
 * @example
 * const body = await readBody(request);
 */
export async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}
