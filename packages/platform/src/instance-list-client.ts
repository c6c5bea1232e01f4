/**
 * Client of the platform's instance list, which lags behind the state of the instances.
 */
import {Pool} from 'undici';
import {z} from 'zod';
import {type ListedInstance} from '@rosemaryquay/core/node/event';

const listSchema = z.object({
	instances: z.array(z.object({
		id: z.string(),
		address: z.url(),
		zone: z.string(),
		rack: z.string(),
		pool: z.string(),
		state: z.enum(['live', 'leaving']),
	})),
});

/** The list, or why it could not be read. */
export type ListOutcome = {readonly ok: true; readonly instances: readonly ListedInstance[]} | {readonly ok: false; readonly detail: string};

const requestTimeoutMs = 2000;

export class InstanceListClient {
	readonly #connectionPool: Pool;

	constructor(options: {url: string}) {
		this.#connectionPool = new Pool(options.url, {connections: 1});
	}

	async list(): Promise<ListOutcome> {
		try {
			const response = await this.#connectionPool.request({path: '/instances', method: 'GET', signal: AbortSignal.timeout(requestTimeoutMs)});
			const answer: unknown = await response.body.json();
			const parsed = listSchema.safeParse(answer);
			return parsed.success ? {ok: true, instances: parsed.data.instances} : {ok: false, detail: parsed.error.message};
		} catch (error) {
			return {ok: false, detail: error instanceof Error ? error.message : String(error)};
		}
	}

	async close(): Promise<void> {
		await this.#connectionPool.destroy();
	}
}
