import {findFormerRunExpiry} from '../runs/find-former-run-expiry.js';
import {type Scheduler, type TaskGroup} from '../state/scheduler.js';
import {mayRunOnServices} from './may-run-on-services.js';

/**
 * Tells whether a task group may still run on a worker that has not answered since the takeover. Where a former owner has
 * stored its run, it can run nowhere else.
 *
 * @param scheduler - the state
 * @param group - the task group
 * @param options - services of such workers, and the local time in milliseconds
 * @returns true if it may
 * @example
 * mayStillRun(scheduler, group, {unreconciledServices, now});
 */
export function mayStillRun(scheduler: Scheduler, {job, formerRun}: TaskGroup, options: {unreconciledServices: ReadonlySet<string>; now: number}): boolean {
	const {unreconciledServices, now} = options;
	return formerRun === undefined ? mayRunOnServices(job, unreconciledServices) : now <= findFormerRunExpiry(scheduler, formerRun);
}
