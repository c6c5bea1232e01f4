import {type Counter} from '@rosemaryquay/core/node/counters';
import {type Effect, type EffectOf} from '@rosemaryquay/core/node/effect';
import {type EffectContext} from './effect-context.js';
import {type LogEvent} from './log-events.js';
import {sendRecordedAnswer} from './effect-handlers/send-recorded-answer.js';
import {sendWorkerResponse} from './effect-handlers/send-worker-response.js';
import {cancelAttempt} from './effect-handlers/cancel-attempt.js';
import {performStoreLeaseOperation} from './effect-handlers/perform-store-lease-operation.js';
import {checkpointAttempt} from './effect-handlers/checkpoint-attempt.js';
import {listStoreEntries} from './effect-handlers/list-store-entries.js';
import {refuseRequest} from './effect-handlers/refuse-request.js';
import {startAttempt} from './effect-handlers/start-attempt.js';
import {throttleAttempt} from './effect-handlers/throttle-attempt.js';
import {runStoreTransaction} from './effect-handlers/run-store-transaction.js';
import {watchStorePrefix} from './effect-handlers/watch-store-prefix.js';

type EffectHandler<Type extends Effect['type']> = (context: EffectContext, effect: EffectOf<Type>) => void | Promise<void>;

/** Counters of which each increment is also logged, with their log events. */
const logEventByCounter: ReadonlyMap<Counter, LogEvent> = new Map([
	['worker.ejected', 'worker-ejected'],
	['worker.returned', 'worker-returned'],
	['worker.leaving', 'worker-leaving'],
	['job.parked', 'job-parked'],
	['attempt.mismatched-answer', 'answer-mismatched'],
]);

const effectHandlers: {readonly [Type in Effect['type']]: EffectHandler<Type>} = {
	'start-attempt': startAttempt,
	'cancel-attempt': cancelAttempt,
	'throttle-attempt': throttleAttempt,
	'checkpoint-attempt': checkpointAttempt,
	answer: sendWorkerResponse,
	'answer-recorded': sendRecordedAnswer,
	refuse: refuseRequest,
	'store-transact': runStoreTransaction,
	'store-list': listStoreEntries,
	'store-watch': watchStorePrefix,
	'store-lease': performStoreLeaseOperation,
	'edit-answered'(context, {requestId, result}) {
		context.resolveEdit(requestId, result);
	},
	'peers-changed'(context, {peers}) {
		context.setPeers(peers);
	},
	report(context, {report: {type, ...fields}}) {
		context.logger.log(type, fields);
	},
	'peer-send'(context, {to, message}) {
		context.sendToPeer(to, message);
	},
	count(context, effect) {
		context.metrics.count(effect.counter);
		const logEvent = logEventByCounter.get(effect.counter);
		if (logEvent !== undefined) {
			context.logger.log(logEvent, {subject: effect.subject});
		}
	},
	'shutdown-finished'(context) {
		context.notifyReducerIdle();
	},
};

/**
 * Performs one effect of the reducer with the handler of its type.
 *
 * @param context - state and clients that the effect handlers share
 * @param effect - the effect
 * @example
 * for (const effect of reduce(node, event)) performEffect(context, effect);
 */
export function performEffect(context: EffectContext, effect: Effect): void {
	void (effectHandlers[effect.type] as EffectHandler<Effect['type']>)(context, effect);
}
