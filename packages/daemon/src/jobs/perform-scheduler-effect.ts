import {performance} from 'node:perf_hooks';
import {type AdmissionRecord} from '@rosemaryquay/core/jobs/admission/admission-record';
import {type SchedulerEffect, type StoreWrite} from '@rosemaryquay/core/jobs/state/effect';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {type Operation} from '@rosemaryquay/core/store/transaction';
import {type Logger} from '../create-logger.js';
import {type LogEvent} from '../log-events.js';
import {createEndedJobKey} from './create-ended-job-key.js';
import {createJobKey} from './create-job-key.js';
import {createPayloadKey} from './create-payload-key.js';
import {createProgressKey} from './create-progress-key.js';
import {
	admissionKey, holdersKey, commitGuardKey, estimatesKey, jobParts, ownerKey, summaryKey, viewKey, wavesPrefix,
} from './keys.js';
import {type OwnershipGrant} from './owner-election.js';
import {type PayloadCache} from './payload-cache.js';
import {type OwnerIdentity, type Platform} from './ports.js';

/** The store accepts 32 entries in a transaction; two conditions and the commit guard use three of them. */
const maximumOperationsPerTransaction = 29;

/** Attempts at one commit; after a refusal, the second one knows the revision of the commit guard. */
const commitAttempts = 2;

export type EffectContext = {
	readonly platform: Platform;
	readonly logger: Logger;
	readonly grant: OwnershipGrant;
	readonly instance: string;
	readonly payloads: PayloadCache;
	/** Last known store revision of the commit guard, the key that every commit replaces. */
	readonly commitGuard: {revision: number};
	/** True while the process is certain to own the schedule. */
	isOwner(): boolean;
	/** True while a run that was placed on a worker has not been released or stopped. */
	isStartPending(order: {readonly worker: string; readonly task: string; readonly run: number}): boolean;
	dispatch(event: SchedulerEvent): void;
	stepDown(reason: string): void;
};

type Handlers = {[Type in SchedulerEffect['type']]: (effect: Extract<SchedulerEffect, {type: Type}>, context: EffectContext & {owner: OwnerIdentity}) => Promise<void> | void};

const handlers: Handlers = {
	async start({worker, address, job, task, run, leaseUntilMs, checkpoint, ticket}, {platform, owner, payloads, isOwner, isStartPending, dispatch}) {
		const cached = payloads.read(job);
		const isCached = typeof cached === 'string';
		const payload = isCached ? cached : await cached;
		// While the payload was read, the process may have been paused or lost the ownership, and the run may have been released.
		const answer = payload === undefined || !isOwner() || !(isCached || isStartPending({worker, task, run}))
			? {outcome: 'withheld' as const}
			: await platform.workers.start({
				owner, worker, address, task, run, payload, leaseUntilMs, checkpoint, ticket,
			});
		dispatch({
			type: 'start-answered', worker, task, run, answer,
		});
	},
	async stop({worker, address, task, run}, {platform, owner, dispatch}) {
		const answer = await platform.workers.stop({
			owner, worker, address, task, run,
		});
		dispatch({
			type: 'stop-answered', worker, task, run, answer,
		});
	},
	async report({worker, address, leaseUntilMs, storedEnd, waitMs}, {platform, owner, dispatch}) {
		const sentAt = performance.now();
		const answer = await platform.workers.requestReport({
			owner, worker, address, leaseUntilMs, storedEnd, waitMs,
		});
		dispatch(answer.ok
			? {
				type: 'worker-reported', worker, requestedAt: sentAt, report: answer.report,
			}
			: {type: 'report-failed', worker, outcome: answer.outcome});
	},
	async 'limit-speed'({worker, address, task, run, percent}, {platform, owner, logger, stepDown}) {
		const {outcome} = await platform.workers.limitSpeed({
			owner, worker, address, task, run, percent,
		});
		logger.log('task-speed-limited', {
			worker, task, run, percent, outcome,
		});
		if (outcome === 'fenced') {
			stepDown('A worker has seen a later owner');
		}
	},
	async commit({number, writes}, context) {
		for (const operations of splitIntoTransactions(writes)) {
			if (!await commitOperations(operations, context)) {
				context.dispatch({type: 'commit-failed', number});
				return;
			}
		}

		finishEndedJobs(writes, context);
		context.dispatch({type: 'committed', number});
	},
	async 'publish-summary'({queues, admission, view}, context) {
		const operations: Operation[] = [{type: 'put', key: summaryKey, value: JSON.stringify({publishedAtMs: Date.now(), queues})}];
		if (admission !== undefined) {
			operations.push({type: 'put', key: admissionKey, value: JSON.stringify({...admission, fence: context.grant.fencingToken})});
		}

		if (view !== undefined) {
			operations.push({type: 'put', key: viewKey, value: view});
		}

		const stored = await writeAsOwner(operations, context);
		if (view !== undefined && !stored) {
			context.dispatch({type: 'view-not-stored'});
		}

		if (admission !== undefined) {
			const isEmpty = admission.queues.length === 0;
			context.logger.log('admission-published', {queues: admission.queues.map(({name}) => name), organisations: countOrganisations(admission), stored});
			context.dispatch({type: 'admission-published', isEmpty, stored});
		}
	},
	async 'publish-wave'({wave, state}, context) {
		const stored = await writeAsOwner([context.platform.operatorFormat.encodeWaveStatus(wave, state)], context);
		context.logger.log('wave-status-published', {wave, state, stored});
		context.dispatch({
			type: 'wave-published', wave, state, stored,
		});
	},
	async 'ask-tickets'({call, job, occurrence, step, workers}, {platform, dispatch, logger}) {
		const sentAt = performance.now();
		const answer = await platform.tickets.requestTickets({
			job, occurrence, step, workers,
		});
		logger.log('tickets-answered', {
			job, occurrence, step, call, asked: workers.length, outcome: answer.outcome, tickets: answer.outcome === 'decided' ? answer.tickets.length : undefined, tookMs: Math.round(performance.now() - sentAt),
		});
		dispatch({type: 'tickets-answered', call, answer});
	},
	async 'list-instances'(_effect, {platform, dispatch}) {
		const requestedAt = performance.now();
		const list = await platform.instances.list();
		dispatch(list === undefined ? {type: 'instances-unlisted'} : {type: 'instances-listed', ...list, requestedAt});
	},
	async upkeep({instance, wave}, {platform, owner, dispatch}) {
		const outcome = await platform.instances.requestMaintenance({owner, instance, wave});
		dispatch({
			type: 'upkeep-answered', wave, instance, outcome,
		});
	},
	async move({instance, pool}, {platform, owner, dispatch, logger}) {
		const outcome = await platform.instances.move({owner, instance, pool});
		logger.log('move-answered', {instance, pool, outcome});
		dispatch({
			type: 'move-answered', instance, pool, outcome,
		});
	},
	'step-down'({reason}, {stepDown}) {
		stepDown(reason);
	},
	log({event, fields}, {logger}) {
		logger.log(event as LogEvent, {...fields});
	},
};

/**
 * Commits operations by compare-and-swap: on condition that this process still owns the schedule and that the commit guard
 * is unchanged since its last commit, so that no other commit came in between. After an unanswered commit the revision of
 * the guard is unknown; the refusal of the next commit returns it.
 */
async function commitOperations(operations: readonly Operation[], context: EffectContext): Promise<boolean> {
	const {platform, grant, commitGuard, stepDown, logger} = context;
	for (let attempt = 0; attempt < commitAttempts; attempt++) {
		const outcome = await platform.store.transact({
			compare: [{key: ownerKey, modRevision: grant.fencingToken}, {key: commitGuardKey, modRevision: commitGuard.revision}],
			success: [...operations, {type: 'put', key: commitGuardKey, value: String(grant.term)}],
			failure: [{type: 'get', key: ownerKey}, {type: 'get', key: commitGuardKey}],
		});
		if (!outcome.ok) {
			logger.log('progress-not-stored', {reason: outcome.reason, detail: outcome.detail, operations: operations.length});
			return false;
		}

		if (outcome.value.succeeded) {
			commitGuard.revision = outcome.value.revision;
			return true;
		}

		const [storedOwner, storedGuard] = outcome.value.entries;
		if (storedOwner?.modRevision !== grant.fencingToken) {
			stepDown('The store names another owner');
			return false;
		}

		commitGuard.revision = storedGuard?.modRevision ?? 0;
	}

	return false;
}

function countOrganisations({queues}: AdmissionRecord): number {
	let count = 0;
	for (const {organisations} of queues) {
		count += organisations.length;
	}

	return count;
}

/** Writes on condition that this process still owns the schedule, without the commit guard. */
async function writeAsOwner(operations: readonly Operation[], context: EffectContext): Promise<boolean> {
	const {platform, grant, stepDown, logger} = context;
	const outcome = await platform.store.transact({
		compare: [{key: ownerKey, modRevision: grant.fencingToken}],
		success: [...operations],
		failure: [],
	});
	if (!outcome.ok) {
		logger.log('progress-not-stored', {reason: outcome.reason, detail: outcome.detail, operations: operations.length});
		return false;
	}

	if (!outcome.value.succeeded) {
		stepDown('The store names another owner');
	}

	return outcome.value.succeeded;
}

const writeEncoders: {[Type in StoreWrite['type']]: (write: Extract<StoreWrite, {type: Type}>) => Operation[]} = {
	progress: ({job, progress}) => [{type: 'put', key: createProgressKey(job), value: JSON.stringify(progress)}],
	end: ({job, end}) => [
		{type: 'put', key: createEndedJobKey(job), value: JSON.stringify(end)},
		{type: 'delete', key: createPayloadKey(job)},
		{type: 'delete', key: createProgressKey(job)},
		...jobParts.map(part => ({type: 'delete' as const, key: createJobKey(job, part)})),
	],
	wave: ({wave, done}) => [{type: 'put', key: `${wavesPrefix}${wave}`, value: JSON.stringify(done)}],
	estimates: ({summary}) => [{type: 'put', key: estimatesKey, value: summary}],
	holders: ({holders}) => [{type: 'put', key: holdersKey, value: JSON.stringify(holders)}],
};

function encodeWrite(write: StoreWrite): Operation[] {
	const encode = writeEncoders[write.type] as (write: StoreWrite) => Operation[];
	return encode(write);
}

/** Splits writes into transactions that the store accepts; the operations of one write stay together. */
function splitIntoTransactions(writes: readonly StoreWrite[]): Operation[][] {
	const transactions: Operation[][] = [];
	for (const write of writes) {
		const operations = encodeWrite(write);
		const last = transactions.at(-1);
		if (last === undefined || last.length + operations.length > maximumOperationsPerTransaction) {
			transactions.push(operations);
		} else {
			last.push(...operations);
		}
	}

	return transactions;
}

function finishEndedJobs(writes: readonly StoreWrite[], {logger, payloads}: EffectContext): void {
	for (const write of writes) {
		if (write.type === 'end') {
			payloads.delete(write.job);
			logger.log('job-ended', {job: write.job, state: write.end.state});
		}
	}
}

/**
 * Performs an effect of the scheduler's reducer. Outcomes are dispatched as events.
 *
 * @param effect - the effect
 * @param context - the platform, the ownership that orders are fenced with, and the receiver of events
 * @example
 * performSchedulerEffect({type: 'list-instances'}, context);
 */
export function performSchedulerEffect(effect: SchedulerEffect, context: EffectContext): void {
	const handler = handlers[effect.type] as (effect: SchedulerEffect, context: EffectContext & {owner: OwnerIdentity}) => Promise<void> | void;
	const owner: OwnerIdentity = {instance: context.instance, fencingToken: context.grant.fencingToken};
	void handler(effect, {...context, owner});
}
