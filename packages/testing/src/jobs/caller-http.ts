import {Buffer} from 'node:buffer';
import {Agent, request} from 'node:http';
import {type SubmittedStep} from './fleet-event.js';

/** Deadline that callers name; the stand-in waits somewhat longer before it gives up on an answer. */
const deadlineMs = 3000;
const answerReserveMs = 1000;

/** Longest state of a job in an answer, a guard against a faulty answer. */
const longestAnswerBytes = 65_536;

const httpMethods = {submit: 'POST', read: 'GET', cancel: 'DELETE'} as const;
export type CallerMethod = keyof typeof httpMethods;

/** Answer to a call; `status` 0 when none arrived, so that the outcome is unknown. */
export type CallerAnswer = {readonly status: number; readonly state: string};

/** Stand-in for the callers of the job scheduler over HTTP. Its connections stay open until the other side closes them. */
export class CallerHttp {
	readonly #agent = new Agent({keepAlive: true, maxSockets: 64});

	/** Submits a job with the given steps, reads its state, or cancels it. */
	async call(call: {method: CallerMethod; address: string; key: string; job: string; steps: readonly SubmittedStep[]}): Promise<CallerAnswer> {
		const steps = call.steps.map(({count, cpuMillis, estimatedMs, after, allowDuplicates, longRunning}) => ({
			count, cpu: cpuMillis, mem_mb: 64, estimated_ms: estimatedMs, after, allow_duplicates: allowDuplicates, long_running: longRunning,
		}));
		return this.#send(httpMethods[call.method], {...call, body: call.method === 'submit' ? JSON.stringify({spec: '', steps}) : ''});
	}

	close(): void {
		this.#agent.destroy();
	}

	async #send(method: string, call: {address: string; key: string; job: string; body: string}): Promise<CallerAnswer> {
		const {address, key, job, body} = call;
		const [host, port] = address.split(':');
		return new Promise(resolve => {
			const finish = (status: number, content = ''): void => {
				clearTimeout(timer);
				resolve({status, state: decodeState(content)});
			};

			const sent = request({
				agent: this.#agent,
				host,
				port,
				method,
				path: `/plans/${job}`,
				headers: {
					host: 'jobs.example', authorization: `Bearer ${key}`, 'x-deadline-ms': String(deadlineMs), 'content-length': Buffer.byteLength(body),
				},
			}, response => {
				let content = '';
				response.on('data', (chunk: Uint8Array) => {
					content = (content + Buffer.from(chunk).toString('utf8')).slice(0, longestAnswerBytes);
				});
				response.once('end', () => {
					finish(response.statusCode ?? 0, content);
				});
				response.once('error', () => {
					finish(0);
				});
			});
			const timer = setTimeout(() => {
				sent.destroy();
				finish(0);
			}, deadlineMs + answerReserveMs);
			sent.once('error', () => {
				finish(0);
			});
			sent.end(body);
		});
	}
}

function decodeState(content: string): string {
	try {
		const {state} = JSON.parse(content) as {state?: unknown};
		return typeof state === 'string' ? state : '';
	} catch {
		return '';
	}
}
