import {
	clockReadingLifetimeMs, openOrderWaitMs, reportLifetimeMs, reportWaitMs, uncommittedReportDelayMs,
} from '../state/constants.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Scheduler, type Worker} from '../state/scheduler.js';
import {provenMs} from '../crashes/proven-ms.js';
import {countTrials} from '../placement/count-trials.js';
import {extendLease} from './extend-lease.js';

/**
 * Requests the reports that are due. A request also renews the lease on all tasks of the worker, and acknowledges ends that
 * are stored.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @example
 * requestReports(context);
 */
export function requestReports(context: ReducerContext): void {
	const {scheduler, now} = context;
	for (const worker of scheduler.workers.values()) {
		if (worker.reportPending || now < worker.reportDueAt || isSettled(worker, now)) {
			continue;
		}

		const hasUncommittedEnds = worker.receivedEndNumber > worker.committedEndNumber;
		if (hasUncommittedEnds && now < worker.lastResponseAt + uncommittedReportDelayMs) {
			continue;
		}

		const acknowledgement = findAcknowledgement(worker, now);
		const isWithheld = acknowledgement > 0 && hasUnconfirmedStart(worker);
		// A worker answers at once while it keeps unacknowledged ends, so only the first of several such requests is sent without a pause.
		if (isWithheld && worker.acknowledgementWithheld && now < worker.reportDueAt + openOrderWaitMs) {
			continue;
		}

		worker.reportPending = true;
		worker.reportRequestedAt = now;
		worker.acknowledgementWithheld = isWithheld;
		worker.pendingAcknowledgement = isWithheld ? 0 : acknowledgement;
		context.effects.push({
			type: 'report',
			worker: worker.id,
			address: worker.address,
			// The lease of an unresponsive worker is not renewed, so that its tasks can start elsewhere once the last one has expired. The next owner knows only of the leases of recorded holders.
			leaseUntilMs: worker.acknowledgedOwner && worker.recordedAsHolder && !worker.unresponsive ? extendLease(worker, now, scheduler.leaseMs) : undefined,
			storedEnd: worker.pendingAcknowledgement,
			waitMs: worker.acknowledgedOwner && !worker.unresponsive && !hasUncommittedEnds ? chooseWait(scheduler, worker) : 0,
		});
	}
}

/** While tasks of a service crash their workers, other tasks wait until those on trial have run for a time. */
function chooseWait({screenings}: Scheduler, worker: Worker): number {
	return screenings.has(worker.listing?.service ?? '') && countTrials(worker) > 0 ? provenMs : reportWaitMs;
}

/** Tells whether a worker has no tasks and no news: all that it has reported is stored. */
function isSettled(worker: Worker, now: number): boolean {
	return now - worker.clockReadAt < clockReadingLifetimeMs
		&& worker.acknowledgedOwner
		&& !worker.unresponsive
		&& !worker.hasStrayRuns
		&& worker.tasks.size === 0
		&& worker.receivedEndNumber === worker.committedEndNumber;
}

/**
 * Finds the number up to which a worker is told to forget ends. Another incarnation under the same id numbers its ends
 * anew and would forget those that no owner has seen, so a number is sent until it is acknowledged, and only while the
 * last report shows which incarnation answers and the store lists no later one.
 */
function findAcknowledgement(worker: Worker, now: number): number {
	const {acknowledgedOwner, committedEndNumber, acknowledgedEndNumber, reportAnsweredAt, listing, startedAtMs} = worker;
	const isIncarnationKnown = acknowledgedOwner && now - reportAnsweredAt < reportLifetimeMs && (listing?.startedAtMs ?? 0) <= startedAtMs;
	return isIncarnationKnown && committedEndNumber > acknowledgedEndNumber ? committedEndNumber : 0;
}

/**
 * Tells whether a start order may be carried out by an incarnation that no answer has shown yet. An acknowledgement may
 * arrive later than the orders that are sent beside it, and would delete the end of such a run before anyone has read it.
 */
function hasUnconfirmedStart({tasks}: Worker): boolean {
	for (const {state, openStartOrders} of tasks) {
		if (openStartOrders > 0 && state !== 'running') {
			return true;
		}
	}

	return false;
}
