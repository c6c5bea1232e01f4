import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {writeProblem} from '../http/write-problem.js';
import {type Host} from '../host.js';

/**
 * Returns a worker's whole answer to the caller.
 *
 * @param host - the host
 * @param effect - the request and the attempt that answered it
 * @example
 * answerRequest(host, {type: 'answer', taskId: 'r-1', attemptId: 'a-1'});
 */
export function answerRequest(host: Host, effect: EffectOf<'answer'>): void {
	const exchange = host.exchanges.get(effect.taskId);
	const answer = host.answers.get(effect.attemptId);
	host.exchanges.delete(effect.taskId);
	if (exchange === undefined) {
		return;
	}

	if (answer === undefined) {
		writeProblem(exchange.response, {reason: 'answer-invalid', execution: 'outcome unknown'}, {requestId: effect.taskId});
		return;
	}

	exchange.response.writeHead(answer.status, {
		'content-type': answer.contentType,
		'content-length': answer.body.length,
		'rosemaryquay-request-id': effect.taskId,
	});
	exchange.response.end(answer.body);
}
