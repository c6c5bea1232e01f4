/**
 * Client of the operators' interface of a daemon.
 */
import {request} from 'undici';

/** A response of the daemon; `status` is 0 when it could not be reached. */
export type OperatorAnswer = {
	readonly status: number;
	readonly body: Record<string, unknown>;
};

type Call = {
	readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
};

/** Edits are answered once they are in force everywhere. */
const timeoutMs = 15_000;

export class OperatorClient {
	readonly #url: string;
	readonly #key: string;

	constructor(options: {url: string; key: string}) {
		this.#url = options.url;
		this.#key = options.key;
	}

	async call({method = 'GET', path, body}: Call): Promise<OperatorAnswer> {
		try {
			const response = await request(new URL(path, this.#url), {
				method,
				headers: {authorization: `Bearer ${this.#key}`, ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body: JSON.stringify(body)}),
				headersTimeout: timeoutMs,
			});
			return {status: response.statusCode, body: await response.body.json() as Record<string, unknown>};
		} catch (error) {
			return {status: 0, body: {title: `${this.#url} cannot be reached: ${error instanceof Error ? error.message : String(error)}`}};
		}
	}
}
