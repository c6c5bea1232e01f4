import {Buffer} from 'node:buffer';
import {maximumCachedAnswerCharacters} from '@rosemaryquay/core/constants';
import {type RecordedAnswer} from '@rosemaryquay/core/deduplication/deduplication';
import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Flight, type Host} from '../host.js';
import {type Answer} from '../worker-client.js';

/** Base64 is 4 characters for 3 bytes. */
const maximumKeptAnswerBytes = Math.floor(maximumCachedAnswerCharacters / 4) * 3;

function recordAnswer(answer: Answer | undefined): {answer?: RecordedAnswer} {
	if (answer === undefined || answer.body.length > maximumKeptAnswerBytes) {
		return {};
	}

	return {answer: {status: answer.status, contentType: answer.contentType, body: Buffer.from(answer.body).toString('base64')}};
}

async function runAttempt(host: Host, effect: EffectOf<'start-attempt'>): Promise<void> {
	const {
		taskId, attemptId, address, timeoutMs, keepAnswer, resumes,
	} = effect;
	const exchange = host.exchanges.get(taskId);
	if (exchange === undefined) {
		host.dispatch({
			type: 'attempt-finished', at: host.now(), attemptId, outcome: {type: 'not-started', cause: 'connection-refused'},
		});
		return;
	}

	const flight: Flight = {address, cancelled: false};
	host.flights.set(attemptId, flight);
	const {outcome, answer} = await host.workers.start({
		attemptId, address, timeoutMs, contentType: exchange.contentType, body: exchange.body, ...(resumes !== undefined && {resumes}), onStart(abort) {
			flight.abort = abort;
			if (flight.cancelled) {
				abort();
			}
		},
	});
	host.flights.delete(attemptId);
	if (answer !== undefined) {
		host.answers.set(attemptId, answer);
	}

	host.dispatch({
		type: 'attempt-finished', at: host.now(), attemptId, outcome: outcome.type === 'succeeded' && keepAnswer ? {...outcome, ...recordAnswer(answer)} : outcome,
	});
	host.answers.delete(attemptId);
}

/**
 * Sends a task to a worker; the outcome comes back as an event.
 *
 * @param host - the host
 * @param effect - the attempt
 * @example
 * startAttempt(host, effect);
 */
export function startAttempt(host: Host, effect: EffectOf<'start-attempt'>): void {
	void runAttempt(host, effect);
}
