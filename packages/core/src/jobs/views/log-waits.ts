import {waitReasons} from '../placement/wait-reason.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type JobWait} from './measure-waits.js';

/** Interval between two lines on the jobs of an organisation that wait on a service for the same reason. */
const repeatMs = 5000;

/** Maximum number of lines at once. */
const maximumLines = 20;

/**
 * Logs why jobs wait: one line for the jobs of an organisation that wait on a service for the same reason, with the one
 * that has waited longest.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @param waits - the waiting jobs, those that have waited longest first
 * @example
 * logWaits(context, measureWaits(scheduler, now));
 */
export function logWaits({scheduler, now, effects}: ReducerContext, waits: readonly JobWait[]): void {
	const {loggedWaits} = scheduler.views;
	const groups = new Map<string, JobWait[]>();
	for (const wait of waits) {
		const key = `${wait.service} ${wait.job.definition.organisation} ${wait.reason}`;
		groups.set(key, [...groups.get(key) ?? [], wait]);
	}

	for (const [key, loggedAt] of loggedWaits) {
		if (now - loggedAt >= repeatMs) {
			loggedWaits.delete(key);
		}
	}

	const due = [...groups].filter(([key]) => !loggedWaits.has(key)).slice(0, maximumLines);
	for (const [key, [first, ...others]] of due) {
		if (first === undefined) {
			continue;
		}

		const {job, service, task, run, since, reason, details} = first;
		loggedWaits.set(key, now);
		effects.push({
			type: 'log', level: 'warn', event: 'tasks-waiting', fields: {
				job: job.definition.id, service, organisation: job.definition.organisation, reason, endsWhen: waitReasons[reason], waitedMs: Math.round(now - since), task, run, jobs: others.length + 1, details,
			},
		});
	}
}
