import {Buffer} from 'node:buffer';
import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Host} from '../host.js';

/**
 * Returns the answer of an earlier request with the same idempotency key.
 *
 * @param host - the host
 * @param effect - the request and the recorded answer
 * @example
 * answerRecorded(host, {type: 'answer-recorded', taskId: 'r-2', answer});
 */
export function answerRecorded(host: Host, effect: EffectOf<'answer-recorded'>): void {
	const {taskId, answer} = effect;
	const exchange = host.exchanges.get(taskId);
	host.exchanges.delete(taskId);
	if (exchange === undefined) {
		return;
	}

	const body = Buffer.from(answer.body, 'base64');
	exchange.response.writeHead(answer.status, {
		'content-type': answer.contentType,
		'content-length': body.length,
		'rosemaryquay-request-id': taskId,
	});
	exchange.response.end(body);
}
