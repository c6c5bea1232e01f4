import {
	clockReadingLifetimeMs, reportLifetimeMs, reportWaitMs, uncommittedReportDelayMs,
} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {extendLease} from './extend-lease.js';

/**
 * Requests the reports that are due. A request also renews the lease on all tasks of the worker.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @example
 * requestReports(context);
 */
export function requestReports(context: ReducerContext): void {
	const {scheduler, now} = context;
	for (const worker of scheduler.workers.values()) {
		if (worker.reportPending || now < worker.reportDueAt || (now - worker.clockReadAt < clockReadingLifetimeMs
			&& worker.acknowledgedOwner && !worker.unresponsive && !worker.hasStrayRuns && worker.tasks.size === 0 && worker.receivedEndNumber === worker.committedEndNumber)) {
			continue;
		}

		const hasUncommittedEnds = worker.receivedEndNumber > worker.committedEndNumber;
		if (hasUncommittedEnds && now < worker.lastResponseAt + uncommittedReportDelayMs) {
			continue;
		}

		worker.reportPending = true;
		worker.reportRequestedAt = now;
		worker.pendingAcknowledgement = findAcknowledgement(worker, now);
		context.effects.push({
			type: 'report',
			worker: worker.id,
			address: worker.address,
			// The lease of an unresponsive worker is not renewed, so that its tasks can start elsewhere once the last one has expired.
			leaseUntilMs: worker.acknowledgedOwner && !worker.unresponsive ? extendLease(worker, now, scheduler.leaseMs) : undefined,
			storedEnd: worker.pendingAcknowledgement,
			waitMs: worker.acknowledgedOwner && !worker.unresponsive && !hasUncommittedEnds ? reportWaitMs : 0,
		});
	}
}

/**
 * Finds the number up to which a worker is told to forget ends. Another incarnation under the same id numbers its ends
 * anew and would forget those that no owner has seen, so a number is sent until it is acknowledged, and only while the
 * last report shows which incarnation answers.
 */
function findAcknowledgement(worker: Worker, now: number): number {
	const {acknowledgedOwner, committedEndNumber, acknowledgedEndNumber, reportAnsweredAt} = worker;
	const isIncarnationKnown = acknowledgedOwner && now - reportAnsweredAt < reportLifetimeMs;
	return isIncarnationKnown && committedEndNumber > acknowledgedEndNumber ? committedEndNumber : 0;
}
