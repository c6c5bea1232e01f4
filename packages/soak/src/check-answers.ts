import {type FleetEvent} from '@rosemaryquay/testing/jobs/fleet-event';
import {type Violation} from './violation.js';

type Answer = Extract<FleetEvent, {type: 'answered'}>;

/** Time within which a withdrawn key must stop working. */
const keyWithdrawalMs = 5000;

const finalStates = new Set(['completed', 'failed', 'cancelled']);

/** Statuses that say that a submission was not accepted and never runs. */
const refusalStatuses = new Set([429, 503]);

/**
 * Checks the answers to callers: accepted jobs end as completed (or cancelled on request), refused jobs never run,
 * and withdrawn keys stop working.
 *
 * @param events - all events of a run, in the order of their time
 * @returns the violations
 * @example
 * checkAnswers(events);
 */
export function checkAnswers(events: readonly FleetEvent[]): Violation[] {
	const endedAt = events.at(-1)?.at ?? 0;
	const violations: Violation[] = [];
	const answers = new Map<string, Answer[]>();
	const startedJobs = new Map<string, number>();
	for (const event of events) {
		if (event.type === 'started') {
			const [job = ''] = event.task.split('.');
			startedJobs.set(job, startedJobs.get(job) ?? event.at);
		} else if (event.type === 'answered') {
			const calls = answers.get(event.job) ?? [];
			calls.push(event);
			answers.set(event.job, calls);
		}
	}

	for (const [job, calls] of answers) {
		violations.push(...checkJob(job, calls, {startedAt: startedJobs.get(job), endedAt}));
	}

	return [...violations, ...checkKeys(events)];
}

function checkJob(job: string, calls: readonly Answer[], options: {startedAt: number | undefined; endedAt: number}): Violation[] {
	const {startedAt, endedAt} = options;
	const submissions = calls.filter(({method}) => method === 'submit');
	// Only from the first submission on that may have been accepted may the job run.
	const mayRunFrom = submissions.find(({status}) => !refusalStatuses.has(status))?.sentAt ?? Number.POSITIVE_INFINITY;
	if (startedAt !== undefined && startedAt < mayRunFrom) {
		return [{rule: 'refused-ran', at: startedAt, text: `${job} runs although each submission before was refused: ${submissions.map(({status}) => status).join(', ')}`}];
	}

	if (!submissions.some(({status}) => status === 200)) {
		return [];
	}

	const end = calls.find(({method, state}) => method === 'read' && finalStates.has(state));
	if (end === undefined) {
		const last = calls.at(-1);
		return [{rule: 'lost', at: endedAt, text: `${job} was accepted and has not ended, last answer ${last?.status ?? 0} ${last?.state ?? ''}`}];
	}

	const isAsExpected = end.state === 'completed' || (end.state === 'cancelled' && calls.some(({method}) => method === 'cancel'));
	return isAsExpected ? [] : [{rule: 'lost', at: end.at, text: `${job} was accepted and ended as ${end.state}`}];
}

function checkKeys(events: readonly FleetEvent[]): Violation[] {
	const violations: Violation[] = [];
	const withdrawnAt = new Map<string, number>();
	for (const event of events) {
		if (event.type === 'key-changed' && event.isValid) {
			withdrawnAt.delete(event.key);
		} else if (event.type === 'key-changed') {
			withdrawnAt.set(event.key, withdrawnAt.get(event.key) ?? event.at);
		} else if (event.type === 'answered' && event.status === 200) {
			const lateMs = event.sentAt - (withdrawnAt.get(event.key) ?? Number.POSITIVE_INFINITY);
			if (lateMs > keyWithdrawalMs) {
				violations.push({rule: 'withdrawn-key', at: event.at, text: `${event.method} of ${event.job} succeeded, sent ${lateMs} ms after ${event.key} was withdrawn`});
			}
		}
	}

	return violations;
}
