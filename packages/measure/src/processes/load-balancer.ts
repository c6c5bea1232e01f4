/**
 * Load balancer for experiments: sends each request to a random instance whose readiness check
 * passes, and retries it at another instance when the connection is refused.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request} from 'undici';

const checkIntervalMs = 100;
const checkTimeoutMs = 400;
const maximumAttempts = 5;

/** One request through the load balancer, and its response. */
export type Exchange = {
	readonly instance: string;
	readonly sentAt: number;
	readonly endedAt: number;
	/** HTTP status; undefined if the connection broke or no instance was ready. */
	readonly status?: number;
	readonly execution?: string;
	readonly reason?: string;
	/** Whether the body of the response equals the body of the request, as workers echo it. */
	readonly whole: boolean;
};

type Submission = {readonly path: string; readonly headers: Record<string, string>; readonly body: string};

export class LoadBalancer {
	readonly exchanges: Exchange[] = [];
	readonly #instances = new Map<string, string>();
	readonly #ready = new Set<string>();
	readonly #agent = new Agent({connections: 64});
	readonly #abort = new AbortController();

	/** Adds an instance or changes its URL. */
	set(instance: string, url: string): void {
		this.#instances.set(instance, url);
	}

	get readyCount(): number {
		return this.#ready.size;
	}

	async run(): Promise<void> {
		while (!this.#abort.signal.aborted) {
			await Promise.all([...this.#instances].map(async ([instance, url]) => this.#check(instance, url)));
			await delay(checkIntervalMs);
		}
	}

	async stop(): Promise<void> {
		this.#abort.abort();
		await this.#agent.destroy();
	}

	async submit(submission: Submission): Promise<void> {
		for (let attempt = 0; attempt < maximumAttempts; attempt++) {
			const ready = [...this.#ready];
			const instance = ready[Math.floor(Math.random() * ready.length)];
			if (instance !== undefined && await this.#send(instance, submission)) {
				return;
			}

			await delay(checkIntervalMs);
		}

		const now = performance.now();
		this.exchanges.push({
			instance: 'none', sentAt: now, endedAt: now, whole: false,
		});
	}

	async #check(instance: string, url: string): Promise<void> {
		try {
			const response = await request(`${url}/health/ready`, {dispatcher: this.#agent, signal: AbortSignal.timeout(checkTimeoutMs)});
			await response.body.dump();
			if (response.statusCode === 200) {
				this.#ready.add(instance);
			} else {
				this.#ready.delete(instance);
			}
		} catch {
			this.#ready.delete(instance);
		}
	}

	/** Returns false if the connection was refused, so that the request can be sent to another instance. */
	async #send(instance: string, submission: Submission): Promise<boolean> {
		const {path, headers, body} = submission;
		const sentAt = performance.now();
		try {
			const response = await request(`${this.#instances.get(instance) ?? ''}${path}`, {
				method: 'POST', dispatcher: this.#agent, headers, body,
			});
			const text = await response.body.text();
			const problem = response.statusCode === 200 ? {} : JSON.parse(text) as {execution?: string; reason?: string};
			this.exchanges.push({
				instance, sentAt, endedAt: performance.now(), status: response.statusCode, whole: text === body, ...problem,
			});
			return true;
		} catch (error) {
			if (error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED') {
				this.#ready.delete(instance);
				return false;
			}

			this.exchanges.push({
				instance, sentAt, endedAt: performance.now(), whole: false,
			});
			return true;
		}
	}
}
