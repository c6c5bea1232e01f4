/**
 * Stand-in for the platform's pool actions over HTTP, with fault injection.
 */
import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {type ActionState} from '@rosemaryquay/core/maintenance/planner';
import {PoolsModel} from './pools-model.js';
import {readBody} from './read-body.js';
import {startServer, type ListeningServer} from './start-server.js';

/** Injected faults, which may be changed at any time; those of single instances are in the model. */
export type PoolsFaults = {
	/** Connections are closed before the call takes effect. */
	down: boolean;
	/** Delay of each answer, in milliseconds. */
	delayMs: number;
	/** Number of coming calls whose answer is lost after the action has taken effect; each such call decrements it. */
	loseAnswers: number;
	/** Each call arrives twice, as after a retry in transit. */
	duplicate: boolean;
	/** Each answer carries the generation of another action. */
	mismatchAnswers: boolean;
};

const actionSchema = z.enum(['drain', 'undrain', 'reboot', 'move']);
const bodySchema = z.object({generation: z.int().min(0), deadlineMs: z.number().optional(), target: z.string().optional()});
/** The last segment is the action of a POST and the generation of a GET. */
const pathPattern = /^\/instances\/(?<instance>[^/]+)\/actions\/(?<last>[^/]+)$/;

type Call = {readonly generation: number; run(): ActionState};

export class PoolsServer {
	readonly model: PoolsModel;
	readonly faults: PoolsFaults = {
		down: false, delayMs: 0, loseAnswers: 0, duplicate: false, mismatchAnswers: false,
	};

	#server: ListeningServer | undefined;

	constructor(options: {model?: PoolsModel} = {}) {
		this.model = options.model ?? new PoolsModel();
	}

	get url(): string {
		return this.#server?.url ?? '';
	}

	async start(options: {port?: number} = {}): Promise<void> {
		this.#server = await startServer((request, response) => {
			void this.#handle(request, response);
		}, options);
	}

	async stop(): Promise<void> {
		await this.#server?.close();
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		if (this.faults.down) {
			response.destroy();
			return;
		}

		const call = this.#parseCall(request, body);
		if (call === undefined) {
			response.writeHead(400).end('{}');
			return;
		}

		const state = call.run();
		if (this.faults.duplicate) {
			call.run();
		}

		if (this.faults.loseAnswers > 0) {
			this.faults.loseAnswers -= 1;
			response.destroy();
			return;
		}

		if (this.faults.delayMs > 0) {
			await delay(this.faults.delayMs);
		}

		const generation = call.generation + (this.faults.mismatchAnswers ? 1 : 0);
		response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({generation, state}));
	}

	#parseCall(request: IncomingMessage, body: Uint8Array): Call | undefined {
		const {instance, last} = pathPattern.exec(request.url ?? '')?.groups ?? {};
		if (instance === undefined || last === undefined) {
			return undefined;
		}

		const id = decodeURIComponent(instance);
		const {model} = this;
		if (request.method === 'GET') {
			const generation = Number(last);
			return Number.isSafeInteger(generation) ? {generation, run: () => model.read(id, {generation, now: performance.now()})} : undefined;
		}

		const action = actionSchema.safeParse(last);
		const parsed = bodySchema.safeParse(JSON.parse(Buffer.from(body).toString() || '{}'));
		if (!action.success || !parsed.success) {
			return undefined;
		}

		const {generation, target} = parsed.data;
		return {
			generation,
			run: () => model.perform(id, action.data, {generation, now: performance.now(), ...(target !== undefined && {target})}),
		};
	}
}
