import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Refusal, type RefusalReason} from '@rosemaryquay/core/jobs/admission/decide-admission';
import {type Queue} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type Logger} from '../create-logger.js';
import {BodyReceiver} from './body-receiver.js';
import {ConnectionLimiter} from './connection-limiter.js';
import {findOrganisation} from './find-organisation.js';
import {findPort} from './find-port.js';
import {findQueue} from './find-queue.js';
import {type JobStore} from './job-store.js';
import {isRequestAdmitted} from './is-request-admitted.js';
import {listen} from './listen.js';
import {type OperatorStateCache} from './operator-state-cache.js';
import {type Platform, type Submission} from './ports.js';
import {type ProcessMetrics} from './process-metrics.js';
import {type ProcessSettings} from './process-settings.js';
import {ReturnSchedule} from './return-schedule.js';

/** Deadline of a request that names none. */
const defaultDeadlineMs = 3000;

/** Part of a caller's deadline that is reserved for the transmission of the response. */
const responseReserveMs = 250;

/** Greatest age of the cached configuration at which it may accept an API key without confirmation by the store, as a fraction of `keyWithdrawalMs`. */
const keyFreshnessFraction = 0.6;

/** Greatest age of the cached configuration at which it may refuse a request, as a fraction of `configurationMs`. */
const refusalFreshnessFraction = 0.75;

/** Shortest `retry-after`, and the random jitter that keeps refused callers from all retrying at the same time. */
const retryAfterBaseSeconds = 1;
const retryAfterJitterSeconds = 1;

/** Time without a successful call to the store after which requests are refused at once; an idle watch of the operators' state is answered every second. */
const storeUnresponsiveMs = 1800;

/** Attempts to accept a job when the configuration keeps changing concurrently. */
const acceptanceAttempts = 3;

/** Longer than the callers' own keep-alive time-out, so that they close an idle connection first. */
const keepAliveTimeoutMs = 65_000;

/** Longest description of a submission's problems; a large body can have thousands of them. */
const maximumProblemLength = 1000;

/** A request whose queue and organisation are known. */
type AuthorizedRequest = {
	readonly request: IncomingMessage;
	readonly queue: Queue;
	readonly organisation: string;
	readonly id: string;
	readonly deadlineAt: number;
	/** Aborted once the request is answered. */
	readonly answered: AbortSignal;
};

type Reply = {
	readonly status: number;
	readonly body?: string;
	readonly reason?: string;
	readonly retryAfterSeconds?: number;
	/** Wait in milliseconds for which the job is refused. */
	readonly waitMs?: number;
	/** Whether the rest of the request is not read, so that the connection ends with the answer. */
	readonly closesConnection?: boolean;
};

const refusalStatuses: Readonly<Record<RefusalReason, number>> = {'over-share': 429, 'no-room': 503};

type Options = {
	readonly settings: ProcessSettings;
	readonly platform: Platform;
	readonly logger: Logger;
	readonly operatorCache: OperatorStateCache;
	readonly jobs: JobStore;
	readonly metrics: ProcessMetrics;
};

/** HTTP API for callers: submits jobs, reports their state, cancels them, and counts the jobs of a queue that have not begun. */
export class JobApiServer {
	readonly #options: Options;
	readonly #server: Server;
	readonly #limiter: ConnectionLimiter;
	readonly #bodies: BodyReceiver;
	readonly #returns = new ReturnSchedule();
	#bounds: ProcessSettings['bounds'];
	#openRequests = 0;
	#isStopping = false;

	constructor(options: Options) {
		this.#options = options;
		this.#bounds = options.settings.bounds;
		const {limits} = options.settings;
		this.#bodies = new BodyReceiver({maximumBytes: limits.maximumReceivedBytes});
		this.#limiter = new ConnectionLimiter({
			limits,
			onClosed(reason) {
				options.logger.log('connection-closed', {server: 'callers', reason});
			},
		});
		this.#server = createServer({keepAliveTimeout: keepAliveTimeoutMs, maxHeaderSize: limits.maximumHeadBytes}, (request, response) => {
			const connectionRequests = this.#limiter.addRequest(request, response);
			if (connectionRequests > 0) {
				void this.#handleRequest(request, response, isRequestAdmitted({servedRequests: this.#openRequests, maximumOpenRequests: limits.maximumOpenRequests, connectionRequests}));
			}
		});
		this.#limiter.attach(this.#server);
	}

	async start(): Promise<void> {
		await listen(this.#server, this.#options.settings.callers);
	}

	/** Port that the server listens on. */
	get port(): number {
		return findPort(this.#server);
	}

	/** What callers make the server hold. */
	get load(): {readonly connections: number; readonly openRequests: number; readonly receivedBytes: number; readonly waitingBytes: number; readonly servedRequests: number} {
		const {connections, openRequests, waitingBytes} = this.#limiter;
		return {
			connections, openRequests, waitingBytes, receivedBytes: this.#bodies.bytes, servedRequests: this.#openRequests,
		};
	}

	/** Replaces the bounds that apply to requests from now on. */
	updateBounds(bounds: ProcessSettings['bounds']): void {
		this.#bounds = bounds;
	}

	/** Closes idle connections and lets each further response close its connection, so that callers move to other instances. */
	async beginShutdown(): Promise<void> {
		this.#isStopping = true;
		await nextTurn();
		this.#server.closeIdleConnections();
	}

	/** Stops listening, waits up to `limitMs` for open requests to be answered, then closes all connections. */
	async finishShutdown(limitMs: number): Promise<void> {
		// A connection counts as idle until the bytes that it has received are parsed in its next turn.
		await nextTurn();
		this.#server.close();
		this.#server.closeIdleConnections();
		const endAt = performance.now() + limitMs;
		while (this.#openRequests > 0 && performance.now() < endAt) {
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		}

		this.#server.closeAllConnections();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse, isAdmitted: boolean): Promise<void> {
		this.#openRequests++;
		const arrivedAt = performance.now();
		const answered = new AbortController();
		try {
			const reply = isAdmitted ? await this.#createReply(request, answered.signal) : unavailable('too-many-open-requests');
			this.#sendReply(request, response, reply);
		} catch (error) {
			this.#options.logger.log('call-failed', {path: request.url, error: (error as Error).stack});
			this.#sendReply(request, response, {status: 502, reason: 'internal-error'});
		} finally {
			answered.abort();
			this.#options.metrics.observeCall(request.method ?? '', response.statusCode, performance.now() - arrivedAt);
			this.#openRequests--;
		}
	}

	#sendReply(request: IncomingMessage, response: ServerResponse, reply: Reply): void {
		const {platform, logger} = this.#options;
		const {status, reason, retryAfterSeconds, waitMs, closesConnection = false} = reply;
		const body = reply.body ?? (reason === undefined ? '{}' : platform.callerFormat.encodeProblem(reason));
		if (reason !== undefined) {
			logger.log('call-refused', {
				request: request.headers['request-id'], method: request.method, path: request.url, status, reason, configurationAgeMs: Math.round(this.#options.operatorCache.ageMs), waitMs, retryAfterSeconds,
			});
		}

		response.writeHead(status, {
			'content-type': platform.callerFormat.contentType,
			'content-length': Buffer.byteLength(body),
			...(retryAfterSeconds !== undefined && {'retry-after': String(retryAfterSeconds)}),
			...((this.#isStopping || closesConnection) && {connection: 'close'}),
		});
		response.end(body);
	}

	async #createReply(request: IncomingMessage, answered: AbortSignal): Promise<Reply> {
		const {operatorCache, platform} = this.#options;
		const arrivedAt = performance.now();
		const {configuration} = operatorCache.state;
		if (configuration === undefined) {
			return unavailable('no-configuration');
		}

		const path = (request.url ?? '/').split('?')[0] ?? '/';
		const host = (request.headers.host ?? '').split(':')[0] ?? '';
		const queue = findQueue(configuration, {host, path});
		const isFreshEnoughToRefuse = operatorCache.ageMs < this.#bounds.configurationMs * refusalFreshnessFraction;
		if (queue === undefined) {
			return isFreshEnoughToRefuse ? {status: 404, reason: 'no-such-queue'} : unavailable('configuration-not-confirmed');
		}

		const organisation = findOrganisation(configuration, queue, platform.callerFormat.readApiKey(request.headers));
		if (organisation === undefined) {
			return isFreshEnoughToRefuse ? {status: 401, reason: 'key-unknown'} : unavailable('configuration-not-confirmed');
		}

		const id = path.slice(queue.pathPrefix.length);
		const authorized: AuthorizedRequest = {
			request, queue, organisation, id, answered, deadlineAt: arrivedAt + (platform.callerFormat.readDeadline(request.headers) ?? defaultDeadlineMs) - responseReserveMs,
		};
		if (this.#isStoreUnresponsive()) {
			return unavailable('store-away');
		}

		const reply = await replyBeforeDeadline(this.#route(authorized), authorized);
		return request.complete ? reply : {...reply, closesConnection: true};
	}

	#isStoreUnresponsive(): boolean {
		const {operatorCache, jobs} = this.#options;
		const isUnresponsive = Math.min(operatorCache.ageMs, performance.now() - jobs.lastSucceededAt) > storeUnresponsiveMs;
		if (isUnresponsive) {
			jobs.probe();
		}

		return isUnresponsive;
	}

	async #route(authorized: AuthorizedRequest): Promise<Reply> {
		const {platform, operatorCache} = this.#options;
		const {request, id, queue} = authorized;
		if (request.method === 'POST' && platform.callerFormat.isJobId(id)) {
			return this.#submit(authorized);
		}

		if (!queue.openToAll && operatorCache.ageMs > this.#bounds.keyWithdrawalMs * keyFreshnessFraction) {
			return unavailable('key-not-confirmed');
		}

		if (request.method === 'GET' && id === '') {
			const waiting = await this.#options.jobs.countWaiting(queue.name);
			return waiting === undefined ? unavailable('store-unavailable') : {status: 200, body: platform.callerFormat.encodeWaiting(waiting)};
		}

		if (request.method === 'GET' && platform.callerFormat.isJobId(id)) {
			return this.#replyWithState(authorized);
		}

		if (request.method === 'DELETE' && platform.callerFormat.isJobId(id)) {
			return this.#cancel(authorized);
		}

		return {status: 404, reason: 'no-such-call'};
	}

	async #submit(authorized: AuthorizedRequest): Promise<Reply> {
		const {platform, operatorCache, jobs, logger} = this.#options;
		const received = await this.#bodies.receive(authorized.request, {limitBytes: operatorCache.state.configuration?.maximumBodyBytes ?? 0, signal: authorized.answered});
		if (!received.ok) {
			return received.reason === 'body-too-large' ? {status: 413, reason: received.reason, closesConnection: true} : {...unavailable(received.reason), closesConnection: true};
		}

		const decoded = platform.callerFormat.decodeSubmission(received.body);
		if (!decoded.ok) {
			return {status: 400, reason: decoded.problem.slice(0, maximumProblemLength)};
		}

		let {queue, organisation} = authorized;
		for (let attempt = 0; attempt < acceptanceAttempts; attempt++) {
			const {revision} = operatorCache.state;
			const accepted = await jobs.accept(createJob(decoded.submission, {id: authorized.id, queue, organisation}), {
				payload: decoded.submission.payload, condition: platform.operatorFormat.createConfigurationCondition(revision), deadlineAt: authorized.deadlineAt, isAbandoned: () => hasClosedConnection(authorized.request),
			});
			if (accepted.type === 'accepted') {
				logger.log('job-accepted', {
					request: authorized.request.headers['request-id'], job: authorized.id, queue: queue.name, organisation, revision,
				});
				return {status: 200};
			}

			if (accepted.type === 'refused') {
				return this.#refuseForLoad(queue.name, accepted.refusal);
			}

			if (accepted.type === 'unknown') {
				return {status: 504, reason: `outcome-unknown: ${accepted.detail}`};
			}

			if (accepted.type === 'unavailable') {
				return unavailable(`store-unavailable: ${accepted.detail}`);
			}

			if (accepted.entry !== undefined) {
				operatorCache.applyEntry(accepted.entry);
			}

			const reauthorized = this.#reauthorize(authorized);
			if ('status' in reauthorized) {
				return reauthorized;
			}

			({queue, organisation} = reauthorized);
		}

		return unavailable('configuration-keeps-changing');
	}

	#refuseForLoad(queue: string, {reason, waitMs, roomInMs, serviceMs}: Refusal): Reply {
		const retryAfterSeconds = this.#returns.add({
			queue, roomInMs, serviceMs, now: performance.now(),
		});
		return {
			status: refusalStatuses[reason], reason, retryAfterSeconds, waitMs,
		};
	}

	/** Authorises a request again after the configuration changed between the first authorisation and the write. */
	#reauthorize(authorized: AuthorizedRequest): Reply | {queue: Queue; organisation: string} {
		const {operatorCache, platform} = this.#options;
		const {configuration} = operatorCache.state;
		const queue = configuration?.queues.find(({host, pathPrefix}) => host === authorized.queue.host && pathPrefix === authorized.queue.pathPrefix);
		if (configuration === undefined || queue === undefined) {
			return {status: 404, reason: 'no-such-queue'};
		}

		const organisation = findOrganisation(configuration, queue, platform.callerFormat.readApiKey(authorized.request.headers));
		return organisation === undefined ? {status: 401, reason: 'key-unknown'} : {queue, organisation};
	}

	async #replyWithState(authorized: AuthorizedRequest): Promise<Reply> {
		const {platform} = this.#options;
		const lookup = await this.#findVisibleJob(authorized);
		if (!lookup.ok) {
			return unavailable(`store-unavailable: ${lookup.detail}`);
		}

		return lookup.job === undefined ? {status: 410, reason: 'no-such-job'} : {status: 200, body: platform.callerFormat.encodeState(lookup.job.state)};
	}

	async #cancel(authorized: AuthorizedRequest): Promise<Reply> {
		const {jobs, logger} = this.#options;
		do {
			const lookup = await this.#findVisibleJob(authorized);
			if (lookup.ok && lookup.job === undefined) {
				return {status: 410, reason: 'no-such-job'};
			}

			if (lookup.ok && lookup.job !== undefined && (lookup.job.state === 'completed' || lookup.job.state === 'failed' || lookup.job.state === 'cancelled')) {
				return {status: 200};
			}

			if (lookup.ok && lookup.job !== undefined && await jobs.cancel(authorized.id, lookup.job)) {
				logger.log('job-cancelled', {request: authorized.request.headers['request-id'], job: authorized.id});
				return {status: 200};
			}
		} while (performance.now() < authorized.deadlineAt);

		return {status: 504, reason: 'cancellation-not-confirmed'};
	}

	/** Looks up a job. A job of another organisation is reported as missing, unless the queue is open to all. */
	async #findVisibleJob({id, organisation, queue}: AuthorizedRequest) {
		const lookup = await this.#options.jobs.find(id);
		const belongsToOther = lookup.ok && lookup.job !== undefined && !queue.openToAll && lookup.job.organisation !== organisation;
		return belongsToOther ? {ok: true as const, job: undefined} : lookup;
	}
}

function hasClosedConnection({socket}: IncomingMessage): boolean {
	return socket.destroyed || socket.readableEnded;
}

function unavailable(reason: string): Reply {
	return {status: 503, reason, retryAfterSeconds: retryAfterBaseSeconds + Math.round(Math.random() * retryAfterJitterSeconds)};
}

/** Resolves by the caller's deadline at the latest, with an unknown outcome when the reply is not there yet. */
async function replyBeforeDeadline(reply: Promise<Reply>, {deadlineAt}: AuthorizedRequest): Promise<Reply> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<Reply>(resolve => {
		timer = setTimeout(() => {
			resolve({status: 504, reason: 'outcome-unknown: no answer from the store in time'});
		}, Math.max(0, deadlineAt - performance.now()));
	});
	try {
		return await Promise.race([reply, timeout]);
	} finally {
		clearTimeout(timer);
	}
}

function createJob(submission: Submission, options: {id: string; queue: Queue; organisation: string}): Job {
	const {id, queue, organisation} = options;
	const {steps, repeatCount, startAtMs, intervalMs} = submission;
	return {
		id,
		queue: queue.name,
		service: queue.service,
		organisation,
		acceptedAtMs: Date.now(),
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
