/**
 * Client of the platform's instance actions: drain, undrain, reboot and move. Actions are idempotent by (instance,
 * generation), and the state of a generation can be read back after a lost answer.
 */
import {Pool} from 'undici';
import {z} from 'zod';
import {type ActionName, type ActionState} from '@rosemaryquay/core/maintenance/planner';

const responseSchema = z.object({
	generation: z.int(),
	state: z.enum(['running', 'done', 'failed', 'absent', 'superseded']),
});

/** Body of an action request. Times are in milliseconds. */
export type ActionRequest = {
	readonly generation: number;
	/** Time that running work has to finish before the drain ends it. */
	readonly deadlineMs?: number;
	/** Destination pool of a move. */
	readonly target?: string;
};

/** Instance actions of the platform. `perform` and `readAction` never reject; they resolve to `unknown` without a valid answer. */
export type InstanceActions = {
	perform(instance: string, action: ActionName, request: ActionRequest): Promise<ActionState>;
	readAction(instance: string, generation: number): Promise<ActionState>;
	close(): Promise<void>;
};

const defaultTimeoutMs = 5000;

export class HttpInstanceActions implements InstanceActions {
	readonly #connectionPool: Pool;
	readonly #timeoutMs: number;

	constructor(options: {url: string; timeoutMs?: number; connections?: number}) {
		const {url, timeoutMs = defaultTimeoutMs, connections = 8} = options;
		this.#connectionPool = new Pool(url, {connections});
		this.#timeoutMs = timeoutMs;
	}

	async perform(instance: string, action: ActionName, request: ActionRequest): Promise<ActionState> {
		return this.#call('POST', `/instances/${encodeURIComponent(instance)}/actions/${action}`, request.generation, JSON.stringify(request));
	}

	async readAction(instance: string, generation: number): Promise<ActionState> {
		return this.#call('GET', `/instances/${encodeURIComponent(instance)}/actions/${generation}`, generation);
	}

	async close(): Promise<void> {
		await this.#connectionPool.destroy();
	}

	async #call(method: 'GET' | 'POST', path: string, generation: number, body?: string): Promise<ActionState> {
		try {
			const response = await this.#connectionPool.request({
				path, method, signal: AbortSignal.timeout(this.#timeoutMs), ...(body !== undefined && {body, headers: {'content-type': 'application/json'}}),
			});
			const answer = responseSchema.safeParse(await response.body.json());
			// An answer for another generation does not apply to this one.
			return response.statusCode === 200 && answer.success && answer.data.generation === generation ? answer.data.state : 'unknown';
		} catch {
			return 'unknown';
		}
	}
}
