import {performance} from 'node:perf_hooks';
import {type SchedulerEffect, type Write} from '@rosemaryquay/core/jobs/effect';
import {type SchedulerEvent} from '@rosemaryquay/core/jobs/event';
import {type Operation} from '@rosemaryquay/core/store/transaction';
import {type Logger} from '../create-logger.js';
import {type LogEvent} from '../log-events.js';
import {createJobKey} from './create-job-key.js';
import {
	holdersKey, journalKey, ownerKey, summaryKey, wavesPrefix,
} from './keys.js';
import {type Mandate} from './ownership.js';
import {type Authority, type Platform} from './ports.js';

/** Entries that the store takes in one transaction, less two conditions and the journal. */
const maximumOperations = 29;

/** Attempts of one write of progress: the second one knows the journal's revision. */
const writeAttempts = 2;

export type EffectContext = {
	readonly platform: Platform;
	readonly logger: Logger;
	readonly mandate: Mandate;
	readonly instance: string;
	/** Store revision of the journal key, which every write of progress replaces. */
	readonly journal: {revision: number};
	dispatch(event: SchedulerEvent): void;
	stepDown(reason: string): void;
};

type Handlers = {[Type in SchedulerEffect['type']]: (effect: Extract<SchedulerEffect, {type: Type}>, context: EffectContext & {authority: Authority}) => Promise<void> | void};

const handlers: Handlers = {
	async start({worker, address, job, task, run, leaseUntilMs, checkpoint, ticket}, {platform, authority, dispatch}) {
		const answer = await platform.workers.start({
			authority, worker, address, task, run, payload: job.payload, leaseUntilMs, checkpoint, ticket,
		});
		dispatch({
			type: 'start-answered', worker, task, run, answer,
		});
	},
	async stop({worker, address, task, run}, {platform, authority, dispatch}) {
		const answer = await platform.workers.stop({
			authority, worker, address, task, run,
		});
		dispatch({
			type: 'stop-answered', worker, task, run, answer,
		});
	},
	async report({worker, address, leaseUntilMs, storedEnd, waitMs}, {platform, authority, dispatch}) {
		const sentAt = performance.now();
		const answer = await platform.workers.report({
			authority, worker, address, leaseUntilMs, storedEnd, waitMs,
		});
		dispatch(answer.ok
			? {
				type: 'worker-reported', worker, sentAt, report: answer.report,
			}
			: {type: 'report-failed', worker, outcome: answer.outcome});
	},
	async 'limit-speed'({worker, address, task, run, percent}, {platform, authority, logger}) {
		const {outcome} = await platform.workers.limitSpeed({
			authority, worker, address, task, run, percent,
		});
		logger.log('task-speed-limited', {
			worker, task, run, percent, outcome,
		});
	},
	async commit({number, writes}, context) {
		const operations = writes.flatMap(write => describeWrite(write));
		for (let first = 0; first < operations.length; first += maximumOperations) {
			if (!await writeProgress(operations.slice(first, first + maximumOperations), context)) {
				context.dispatch({type: 'commit-failed', number});
				return;
			}
		}

		logEnds(writes, context.logger);
		context.dispatch({type: 'committed', number});
	},
	async 'publish-summary'({queues}, context) {
		const value = JSON.stringify({publishedAtMs: Date.now(), queues});
		await commitOperations([{type: 'put', key: summaryKey, value}], context);
	},
	async 'publish-wave'({wave, state}, context) {
		const stored = await commitOperations([context.platform.operators.describeWave(wave, state)], context);
		context.logger.log('wave-status-published', {wave, state, stored});
		context.dispatch({
			type: 'wave-published', wave, state, stored,
		});
	},
	async 'ask-tickets'({job, occurrence, step, workers}, {platform, dispatch, logger}) {
		const answer = await platform.tickets.ask({
			job, occurrence, step, workers,
		});
		logger.log('tickets-answered', {
			job, occurrence, step, asked: workers.length, tickets: answer?.tickets.length,
		});
		dispatch({
			type: 'tickets-answered', job, occurrence, step, tickets: answer?.tickets ?? [], validMs: answer?.validMs ?? 0,
		});
	},
	async 'list-instances'(_effect, {platform, dispatch}) {
		const askedAt = performance.now();
		const instances = await platform.instances.list();
		dispatch(instances === undefined ? {type: 'instances-unlisted'} : {type: 'instances-listed', instances, askedAt});
	},
	async upkeep({instance, wave}, {platform, authority, dispatch}) {
		const outcome = await platform.instances.upkeep({authority, instance, wave});
		dispatch({
			type: 'upkeep-answered', wave, instance, outcome,
		});
	},
	async move({instance, pool}, {platform, authority, dispatch, logger}) {
		const outcome = await platform.instances.move({authority, instance, pool});
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
 * Writes progress under the condition that this process still owns the schedule and that no other write of it has come
 * in between. After a write without an answer the journal's revision is not known; the refusal of the next one shows it.
 */
async function writeProgress(operations: readonly Operation[], context: EffectContext): Promise<boolean> {
	const {platform, mandate, journal, stepDown, logger} = context;
	for (let attempt = 0; attempt < writeAttempts; attempt++) {
		const outcome = await platform.store.transact({
			compare: [{key: ownerKey, modRevision: mandate.fence}, {key: journalKey, modRevision: journal.revision}],
			success: [...operations, {type: 'put', key: journalKey, value: String(mandate.term)}],
			failure: [{type: 'get', key: ownerKey}, {type: 'get', key: journalKey}],
		});
		if (!outcome.ok) {
			logger.log('progress-not-stored', {reason: outcome.reason, detail: outcome.detail, operations: operations.length});
			return false;
		}

		if (outcome.value.succeeded) {
			journal.revision = outcome.value.revision;
			return true;
		}

		const [owner, written] = outcome.value.entries;
		if (owner?.modRevision !== mandate.fence) {
			stepDown('The store names another owner');
			return false;
		}

		journal.revision = written?.modRevision ?? 0;
	}

	return false;
}

/** Writes under the condition that this process still owns the schedule. */
async function commitOperations(operations: readonly Operation[], context: EffectContext): Promise<boolean> {
	const {platform, mandate, stepDown, logger} = context;
	const outcome = await platform.store.transact({
		compare: [{key: ownerKey, modRevision: mandate.fence}],
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

const writeHandlers: {[Type in Write['type']]: (write: Extract<Write, {type: Type}>) => Operation[]} = {
	progress: ({job, progress}) => [{type: 'put', key: createJobKey(job, 'progress'), value: JSON.stringify(progress)}],
	end: ({job, end}) => [{type: 'put', key: createJobKey(job, 'end'), value: JSON.stringify(end)}],
	wave: ({wave, done}) => [{type: 'put', key: `${wavesPrefix}${wave}`, value: JSON.stringify(done)}],
	holders: ({holders}) => [{type: 'put', key: holdersKey, value: JSON.stringify(holders)}],
};

function describeWrite(write: Write): Operation[] {
	const handler = writeHandlers[write.type] as (write: Write) => Operation[];
	return handler(write);
}

function logEnds(writes: readonly Write[], logger: Logger): void {
	for (const write of writes) {
		if (write.type === 'end') {
			logger.log('job-ended', {job: write.job, state: write.end.state});
		}
	}
}

/**
 * Performs an effect of the schedule's reducer. Answers come back as events.
 *
 * @param effect - the effect
 * @param context - the platform, the mandate that orders prove, and where events go
 * @example
 * performSchedulerEffect({type: 'list-instances'}, context);
 */
export function performSchedulerEffect(effect: SchedulerEffect, context: EffectContext): void {
	const handler = handlers[effect.type] as (effect: SchedulerEffect, context: EffectContext & {authority: Authority}) => Promise<void> | void;
	const authority: Authority = {holder: context.instance, fence: context.mandate.fence};
	void handler(effect, {...context, authority});
}
