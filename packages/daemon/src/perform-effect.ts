import {type Counter} from '@rosemaryquay/core/node/counters';
import {type Effect, type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from './host.js';
import {type LogEvent} from './log-events.js';
import {answerRecorded} from './performers/answer-recorded.js';
import {answerRequest} from './performers/answer-request.js';
import {cancelAttempt} from './performers/cancel-attempt.js';
import {callLease} from './performers/call-lease.js';
import {checkpointAttempt} from './performers/checkpoint-attempt.js';
import {listStore} from './performers/list-store.js';
import {refuseRequest} from './performers/refuse-request.js';
import {startAttempt} from './performers/start-attempt.js';
import {throttleAttempt} from './performers/throttle-attempt.js';
import {transactStore} from './performers/transact-store.js';
import {watchStore} from './performers/watch-store.js';

type Performer<Type extends Effect['type']> = (host: Host, effect: EffectOf<Type>) => void | Promise<void>;

/** Counters whose every increment is also logged. */
const loggedCounters: ReadonlyMap<Counter, LogEvent> = new Map([
	['worker.ejected', 'worker-ejected'],
	['worker.returned', 'worker-returned'],
	['worker.leaving', 'worker-leaving'],
	['job.parked', 'job-parked'],
	['attempt.mismatched-answer', 'answer-mismatched'],
]);

const performers: {readonly [Type in Effect['type']]: Performer<Type>} = {
	'start-attempt': startAttempt,
	'cancel-attempt': cancelAttempt,
	'throttle-attempt': throttleAttempt,
	'checkpoint-attempt': checkpointAttempt,
	answer: answerRequest,
	'answer-recorded': answerRecorded,
	refuse: refuseRequest,
	'store-transact': transactStore,
	'store-list': listStore,
	'store-watch': watchStore,
	'store-lease': callLease,
	'edit-answered'(host, {requestId, result}) {
		host.answerEdit(requestId, result);
	},
	'peers-changed'(host, {peers}) {
		host.keepPeers(peers);
	},
	report(host, {report: {type, ...fields}}) {
		host.logger.log(type, fields);
	},
	'peer-send'(host, {to, message}) {
		host.sendToPeer(to, message);
	},
	count(host, effect) {
		host.metrics.count(effect.counter);
		const logged = loggedCounters.get(effect.counter);
		if (logged !== undefined) {
			host.logger.log(logged, {subject: effect.subject});
		}
	},
	'shutdown-finished'(host) {
		host.shutdownFinished();
	},
};

/**
 * Performs one effect of the reducer.
 *
 * @param host - what the performers share
 * @param effect - the effect
 * @example
 * for (const effect of reduce(node, event)) performEffect(host, effect);
 */
export function performEffect(host: Host, effect: Effect): void {
	void (performers[effect.type] as Performer<Effect['type']>)(host, effect);
}
