import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {performance} from 'node:perf_hooks';
import {type Queue} from '@rosemaryquay/core/jobs/configuration-schema';
import {type Job} from '@rosemaryquay/core/jobs/job-schema';
import {type Logger} from '../create-logger.js';
import {authorizeCall} from './authorize-call.js';
import {findPort} from './find-port.js';
import {findQueue} from './find-queue.js';
import {type JobStore} from './job-store.js';
import {listen} from './listen.js';
import {type OperatorWatch} from './operator-watch.js';
import {type Platform, type Submission} from './ports.js';
import {type ProcessMetrics} from './process-metrics.js';
import {type ProcessSettings} from './process-settings.js';

/** Time that a caller without a deadline is given. */
const defaultDeadlineMs = 3000;

/** Time kept back from a caller's deadline for the answer's way. */
const answerReserveMs = 250;

/** Part of the time to withdraw a key during which knowledge of the configuration may be used without confirmation. */
const usableKeyPart = 0.6;

/** Part of the time to bring a configuration into force during which it may be used to refuse a call. */
const usableRefusalPart = 0.75;

/** Shortest time after which a caller is asked to come back, and the spread that keeps refused callers from returning all at once. */
const retryAfterSeconds = 1;
const retrySpreadSeconds = 1;

/** Time without any answer from the store after which calls that need it are refused at once; its watch answers every second. */
const storeAwayMs = 1800;

/** Attempts to accept a job while the configuration changes beneath it. */
const acceptanceAttempts = 3;

/** Time that an idle connection is kept; longer than callers keep theirs, so that they close first. */
const keepAliveMs = 65_000;

type Call = {
	readonly request: IncomingMessage;
	readonly queue: Queue;
	readonly organisation: string;
	readonly id: string;
	readonly deadlineAt: number;
};

type Answer = {readonly status: number; readonly body?: string; readonly reason?: string; readonly retryAfterSeconds?: number};

type Options = {
	readonly settings: ProcessSettings;
	readonly platform: Platform;
	readonly logger: Logger;
	readonly operators: OperatorWatch;
	readonly jobs: JobStore;
	readonly metrics: ProcessMetrics;
};

/** Serves callers: hands jobs in, tells their state, cancels them. */
export class EntryServer {
	readonly #options: Options;
	readonly #server: Server;
	#bounds: ProcessSettings['bounds'];
	#openCalls = 0;
	#isStopping = false;

	constructor(options: Options) {
		this.#options = options;
		this.#bounds = options.settings.bounds;
		this.#server = createServer({keepAliveTimeout: keepAliveMs}, (request, response) => {
			void this.#serve(request, response);
		});
	}

	async start(): Promise<void> {
		await listen(this.#server, this.#options.settings.callers);
	}

	/** Address that the server listens on. */
	get port(): number {
		return findPort(this.#server);
	}

	/** Uses other bounds for calls that arrive from now on. */
	adopt(bounds: ProcessSettings['bounds']): void {
		this.#bounds = bounds;
	}

	/** Asks callers to leave: every further answer closes its connection. */
	beginShutdown(): void {
		this.#isStopping = true;
		this.#server.closeIdleConnections();
	}

	/** Stops listening and waits until open calls have been answered or the time is over. */
	async finishShutdown(limitMs: number): Promise<void> {
		this.#server.close();
		this.#server.closeIdleConnections();
		const endAt = performance.now() + limitMs;
		while (this.#openCalls > 0 && performance.now() < endAt) {
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		}

		this.#server.closeAllConnections();
	}

	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#openCalls++;
		const arrivedAt = performance.now();
		try {
			const answer = await this.#answer(request);
			this.#send(request, response, answer);
		} catch (error) {
			this.#options.logger.log('call-failed', {path: request.url, error: (error as Error).stack});
			this.#send(request, response, {status: 502, reason: 'internal-error'});
		} finally {
			this.#options.metrics.observeCall(request.method ?? '', response.statusCode, performance.now() - arrivedAt);
			this.#openCalls--;
		}
	}

	#send(request: IncomingMessage, response: ServerResponse, answer: Answer): void {
		const {platform, logger} = this.#options;
		const {status, reason, retryAfterSeconds: pauseSeconds} = answer;
		const body = answer.body ?? (reason === undefined ? '{}' : platform.callers.encodeProblem(reason));
		if (reason !== undefined) {
			logger.log('call-refused', {
				request: request.headers['request-id'], method: request.method, path: request.url, status, reason, configurationAgeMs: Math.round(this.#options.operators.ageMs),
			});
		}

		response.writeHead(status, {
			'content-type': platform.callers.contentType,
			'content-length': Buffer.byteLength(body),
			...(pauseSeconds !== undefined && {'retry-after': String(pauseSeconds)}),
			...(this.#isStopping && {connection: 'close'}),
		});
		response.end(body);
	}

	async #answer(request: IncomingMessage): Promise<Answer> {
		const {operators, platform} = this.#options;
		const arrivedAt = performance.now();
		const {configuration} = operators.state;
		if (configuration === undefined) {
			return unavailable('no-configuration');
		}

		const path = (request.url ?? '/').split('?')[0] ?? '/';
		const host = (request.headers.host ?? '').split(':')[0] ?? '';
		const queue = findQueue(configuration, {host, path});
		const isRefusalSure = operators.ageMs < this.#bounds.configurationMs * usableRefusalPart;
		if (queue === undefined) {
			return isRefusalSure ? {status: 404, reason: 'no-such-queue'} : unavailable('configuration-not-confirmed');
		}

		const organisation = authorizeCall(configuration, queue, platform.callers.readKey(request.headers));
		if (organisation === undefined) {
			return isRefusalSure ? {status: 401, reason: 'key-unknown'} : unavailable('configuration-not-confirmed');
		}

		const id = path.slice(queue.pathPrefix.length);
		const call: Call = {
			request, queue, organisation, id, deadlineAt: arrivedAt + (platform.callers.readDeadline(request.headers) ?? defaultDeadlineMs) - answerReserveMs,
		};
		return this.#isStoreAway() ? unavailable('store-away') : answerInTime(this.#dispatch(call), call);
	}

	#isStoreAway(): boolean {
		const {operators, jobs} = this.#options;
		const isAway = Math.min(operators.ageMs, performance.now() - jobs.answeredAt) > storeAwayMs;
		if (isAway) {
			jobs.probe();
		}

		return isAway;
	}

	async #dispatch(call: Call): Promise<Answer> {
		const {platform, operators} = this.#options;
		const {request, id, queue} = call;
		if (request.method === 'POST' && platform.callers.isJobId(id)) {
			return this.#submit(call);
		}

		if (!queue.openToAll && operators.ageMs > this.#bounds.keyWithdrawalMs * usableKeyPart) {
			return unavailable('key-not-confirmed');
		}

		if (request.method === 'GET' && id === '') {
			const waiting = await this.#options.jobs.countWaiting(queue.name);
			return waiting === undefined ? unavailable('store-unavailable') : {status: 200, body: platform.callers.encodeWaiting(waiting)};
		}

		if (request.method === 'GET' && platform.callers.isJobId(id)) {
			return this.#tell(call);
		}

		if (request.method === 'DELETE' && platform.callers.isJobId(id)) {
			return this.#cancel(call);
		}

		return {status: 404, reason: 'no-such-call'};
	}

	async #submit(call: Call): Promise<Answer> {
		const {platform, operators, jobs, logger} = this.#options;
		const body = await readBody(call.request, operators.state.configuration?.maximumBodyBytes ?? 0);
		if (body === undefined) {
			return {status: 413, reason: 'body-too-large'};
		}

		const decoded = platform.callers.decodeSubmission(body);
		if (!decoded.ok) {
			return {status: 400, reason: decoded.problem};
		}

		let {queue, organisation} = call;
		for (let attempt = 0; attempt < acceptanceAttempts; attempt++) {
			const {revision} = operators.state;
			const accepted = await jobs.accept(createJob(decoded.submission, {id: call.id, queue, organisation}), {
				condition: platform.operators.requireConfiguration(revision), deadlineAt: call.deadlineAt,
			});
			if (accepted.type === 'accepted') {
				logger.log('job-accepted', {
					request: call.request.headers['request-id'], job: call.id, queue: queue.name, organisation, revision,
				});
				return {status: 200};
			}

			if (accepted.type === 'unknown') {
				return {status: 504, reason: `outcome-unknown: ${accepted.detail}`};
			}

			if (accepted.type === 'unavailable') {
				return unavailable(`store-unavailable: ${accepted.detail}`);
			}

			if (accepted.entry !== undefined) {
				operators.adopt(accepted.entry);
			}

			const renewed = this.#authorizeAgain(call);
			if ('status' in renewed) {
				return renewed;
			}

			({queue, organisation} = renewed);
		}

		return unavailable('configuration-keeps-changing');
	}

	/** The configuration has changed between the decision and the write: decides by the newer one. */
	#authorizeAgain(call: Call): Answer | {queue: Queue; organisation: string} {
		const {operators, platform} = this.#options;
		const {configuration} = operators.state;
		const queue = configuration?.queues.find(({host, pathPrefix}) => host === call.queue.host && pathPrefix === call.queue.pathPrefix);
		if (configuration === undefined || queue === undefined) {
			return {status: 404, reason: 'no-such-queue'};
		}

		const organisation = authorizeCall(configuration, queue, platform.callers.readKey(call.request.headers));
		return organisation === undefined ? {status: 401, reason: 'key-unknown'} : {queue, organisation};
	}

	async #tell(call: Call): Promise<Answer> {
		const {platform} = this.#options;
		const lookup = await this.#find(call);
		if (!lookup.ok) {
			return unavailable(`store-unavailable: ${lookup.detail}`);
		}

		return lookup.job === undefined ? {status: 410, reason: 'no-such-job'} : {status: 200, body: platform.callers.encodeState(lookup.job.state)};
	}

	async #cancel(call: Call): Promise<Answer> {
		const {jobs, logger} = this.#options;
		do {
			const lookup = await this.#find(call);
			if (lookup.ok && lookup.job === undefined) {
				return {status: 410, reason: 'no-such-job'};
			}

			if (lookup.ok && lookup.job !== undefined && (lookup.job.state === 'completed' || lookup.job.state === 'failed' || lookup.job.state === 'cancelled')) {
				return {status: 200};
			}

			if (lookup.ok && lookup.job !== undefined && await jobs.cancel(call.id, lookup.job)) {
				logger.log('job-cancelled', {request: call.request.headers['request-id'], job: call.id});
				return {status: 200};
			}
		} while (performance.now() < call.deadlineAt);

		return {status: 504, reason: 'cancellation-not-confirmed'};
	}

	/** A job of another organisation does not exist for the caller. */
	async #find({id, organisation, queue}: Call) {
		const lookup = await this.#options.jobs.find(id);
		const isForeign = lookup.ok && lookup.job !== undefined && !queue.openToAll && lookup.job.organisation !== organisation;
		return isForeign ? {ok: true as const, job: undefined} : lookup;
	}
}

function unavailable(reason: string): Answer {
	return {status: 503, reason, retryAfterSeconds: retryAfterSeconds + Math.round(Math.random() * retrySpreadSeconds)};
}

/** Answers before the caller's deadline passes, though the outcome is not known by then. */
async function answerInTime(answer: Promise<Answer>, {deadlineAt}: Call): Promise<Answer> {
	let timer: NodeJS.Timeout | undefined;
	const late = new Promise<Answer>(resolve => {
		timer = setTimeout(() => {
			resolve({status: 504, reason: 'outcome-unknown: no answer from the store in time'});
		}, Math.max(0, deadlineAt - performance.now()));
	});
	try {
		return await Promise.race([answer, late]);
	} finally {
		clearTimeout(timer);
	}
}

function createJob(submission: Submission, options: {id: string; queue: Queue; organisation: string}): Job {
	const {id, queue, organisation} = options;
	const {payload, steps, repeatCount, startAtMs, intervalMs} = submission;
	return {
		id,
		queue: queue.name,
		service: queue.service,
		organisation,
		acceptedAtMs: Date.now(),
		payload,
		steps: [...steps],
		priority: queue.priority,
		maximumAttempts: queue.maximumAttempts,
		stretch: queue.stretch,
		targetLatencyMs: queue.targetLatencyMs,
		repeatCount,
		startAtMs,
		intervalMs,
	};
}

/** Reads a body; undefined when it is longer than allowed. */
async function readBody(request: IncomingMessage, limitBytes: number): Promise<Uint8Array | undefined> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size > limitBytes) {
			return undefined;
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}
