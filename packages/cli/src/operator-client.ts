/**
 * Client of the operators' interface of a daemon.
 */
import {request} from 'undici';

/** A response of the daemon; `status` is 0 when it could not be reached. */
export type OperatorResponse = {
	readonly status: number;
	readonly body: Record<string, unknown>;
};

type OperatorCall = {
	readonly method?: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: unknown;
};

/** Longer than a daemon waits for an edit to be in force on all daemons before it responds. */
const responseTimeoutMs = 15_000;

export class OperatorClient {
	readonly #url: string;
	readonly #key: string;

	constructor(options: {url: string; key: string}) {
		this.#url = options.url;
		this.#key = options.key;
	}

	async call({method = 'GET', path, body}: OperatorCall): Promise<OperatorResponse> {
		try {
			const response = await request(new URL(path, this.#url), {
				method,
				headers: {authorization: `Bearer ${this.#key}`, ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body: JSON.stringify(body)}),
				headersTimeout: responseTimeoutMs,
			});
			return {status: response.statusCode, body: await response.body.json() as Record<string, unknown>};
		} catch (error) {
			return {status: 0, body: {title: `${this.#url} cannot be reached: ${error instanceof Error ? error.message : String(error)}`}};
		}
	}
}
