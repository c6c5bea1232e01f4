import {type Counter} from '@rosemaryquay/core/node/counters';
import {type Effect, type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from './host.js';
import {type LogEvent} from './log-events.js';
import {sendRecordedAnswer} from './effect-handlers/send-recorded-answer.js';
import {sendWorkerResponse} from './effect-handlers/send-worker-response.js';
import {cancelAttempt} from './effect-handlers/cancel-attempt.js';
import {performLeaseOperation} from './effect-handlers/perform-lease-operation.js';
import {checkpointAttempt} from './effect-handlers/checkpoint-attempt.js';
import {listStoreKeys} from './effect-handlers/list-store-keys.js';
import {refuseRequest} from './effect-handlers/refuse-request.js';
import {startAttempt} from './effect-handlers/start-attempt.js';
import {throttleAttempt} from './effect-handlers/throttle-attempt.js';
import {runStoreTransaction} from './effect-handlers/run-store-transaction.js';
import {watchStorePrefix} from './effect-handlers/watch-store-prefix.js';

type EffectHandler<Type extends Effect['type']> = (host: Host, effect: EffectOf<Type>) => void | Promise<void>;

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
	'store-list': listStoreKeys,
	'store-watch': watchStorePrefix,
	'store-lease': performLeaseOperation,
	'edit-answered'(host, {requestId, result}) {
		host.resolveEdit(requestId, result);
	},
	'peers-changed'(host, {peers}) {
		host.setPeers(peers);
	},
	report(host, {report: {type, ...fields}}) {
		host.logger.log(type, fields);
	},
	'peer-send'(host, {to, message}) {
		host.sendToPeer(to, message);
	},
	count(host, effect) {
		host.metrics.count(effect.counter);
		const logEvent = logEventByCounter.get(effect.counter);
		if (logEvent !== undefined) {
			host.logger.log(logEvent, {subject: effect.subject});
		}
	},
	'shutdown-finished'(host) {
		host.finishShutdown();
	},
};

/**
 * Performs one effect of the reducer with the handler of its type.
 *
 * @param host - state and clients that the effect handlers share
 * @param effect - the effect
 * @example
 * for (const effect of reduce(node, event)) performEffect(host, effect);
 */
export function performEffect(host: Host, effect: Effect): void {
	void (effectHandlers[effect.type] as EffectHandler<Effect['type']>)(host, effect);
}
