import {startDuplicates} from '../copies/start-duplicates.js';
import {advanceWaves} from '../waves/advance-waves.js';
import {requestReports} from '../runs/request-reports.js';
import {endCalledIncarnation} from '../runs/end-called-incarnation.js';
import {locateWorker} from '../runs/locate-worker.js';
import {logRestart} from '../runs/log-restart.js';
import {placeReadyTasks} from '../placement/place-ready-tasks.js';
import {isInstanceListDue} from '../pools/is-instance-list-due.js';
import {planMoves} from '../pools/plan-moves.js';
import {handleInstances} from '../pools/handle-instances.js';
import {handleMoveAnswer} from '../pools/handle-move-answer.js';
import {handleReport} from '../runs/handle-report.js';
import {handleStartAnswer} from '../runs/handle-start-answer.js';
import {handleStopAnswer} from '../runs/handle-stop-answer.js';
import {handleTickets} from '../placement/handle-tickets.js';
import {handleUpkeepAnswer} from '../waves/handle-upkeep-answer.js';
import {reconcileWaves} from '../waves/reconcile-waves.js';
import {reviewLeases} from '../runs/review-leases.js';
import {superviseWorkers} from '../runs/supervise-workers.js';
import {updateHolderWait} from '../runs/update-holder-wait.js';
import {stopJob} from './stop-job.js';
import {type Scheduler} from './scheduler.js';
import {publishSummary} from './publish-summary.js';
import {type ReducerContext} from './reducer-context.js';
import {openOccurrences} from './open-occurrences.js';
import {removeJob} from './remove-job.js';
import {finishCommit} from './finish-commit.js';
import {type EventTime, type SchedulerEvent} from './event.js';
import {type SchedulerEffect} from './effect.js';
import {createWorker} from './create-worker.js';
import {
	endedRetentionMs, reportRetryMs, idleInstanceListIntervalMs, instanceListIntervalMs, unreconciledReportRetryMs,
} from './constants.js';
import {addJob} from './add-job.js';
import {writeProgress} from './write-progress.js';

type Handlers = {[Type in SchedulerEvent['type']]: (context: ReducerContext, event: Extract<SchedulerEvent, {type: Type}>) => void};

/** Interval of housekeeping, which checks every task and instance; a sixth of the shortest time-out checked there. */
const housekeepingIntervalMs = 50;

/** Time between two `ticked` events from which the process counts as having been paused; they are normally 40 ms apart. */
const processPauseMs = 250;

const handlers: Handlers = {
	ticked(context) {
		const {scheduler, now} = context;
		if (now - scheduler.tickedAt > processPauseMs) {
			scheduler.resumedAt = now;
		}

		scheduler.tickedAt = now;
		const isHousekeepingDue = now >= scheduler.housekeepingDueAt;
		if (isHousekeepingDue) {
			scheduler.housekeepingDueAt = now + housekeepingIntervalMs;
			runHousekeeping(context);
		}

		placeReadyTasks(context);
		if (isHousekeepingDue) {
			// What is free shows once the waiting tasks are placed.
			publishSummary(context);
			startDuplicates(context);
		}

		writeProgress(context);
		requestReports(context);
	},
	'configuration-changed'({scheduler}, {configuration}) {
		if (configuration.version >= scheduler.configuration.version) {
			scheduler.configuration = configuration;
		}
	},
	'zones-withdrawn'({scheduler}, {zones}) {
		scheduler.withdrawnZones.clear();
		for (const zone of zones) {
			scheduler.withdrawnZones.add(zone);
		}
	},
	'waves-requested'(context, {waves, done}) {
		reconcileWaves(context, waves, done);
	},
	'job-accepted'(context, {job}) {
		addJob(context, job);
	},
	'job-cancelled'(context, {id}) {
		const job = context.scheduler.jobs.get(id);
		if (job === undefined || job.cancelled || job.end !== undefined) {
			return;
		}

		job.cancelled = true;
		context.scheduler.dirtyJobs.add(job);
		stopJob(context, job);
	},
	'worker-listed'(context, {worker: listing}) {
		const {scheduler, now} = context;
		if (listing.startedAtMs <= (scheduler.endedIncarnations.get(listing.id) ?? -1)) {
			return;
		}

		const known = scheduler.workers.get(listing.id);
		const worker = known ?? createWorker({...listing, now});
		const {listedStartedAtMs} = worker;
		locateWorker(context, worker, listing);
		updateHolderWait(context, worker, listedStartedAtMs);
		worker.wasLeaving = listing.leaving;
		worker.lastSeenAt = now;
		if (known === undefined) {
			scheduler.workers.set(worker.id, worker);
			return;
		}

		if (worker.acknowledgedOwner && worker.startedAtMs < listing.startedAtMs) {
			worker.acknowledgedOwner = false;
			worker.cordoned = false;
			worker.reportDueAt = now;
			logRestart(context, worker, {evidence: 'store-entry', startedAtMs: listing.startedAtMs});
		}
	},
	'worker-unlisted'({scheduler, now}, {id}) {
		const worker = scheduler.workers.get(id);
		if (worker !== undefined) {
			worker.listing = undefined;
			worker.unlistedAt = now;
		}
	},
	'instances-listed'(context, {instances, requestedAt, isComplete}) {
		handleInstances(context, {instances, requestedAt, isComplete});
	},
	'instances-unlisted'({scheduler, now}) {
		scheduler.instanceListPending = false;
		scheduler.instanceListDueAt = now + instanceListIntervalMs;
	},
	'worker-reported'(context, {worker: id, requestedAt, report}) {
		const worker = context.scheduler.workers.get(id);
		if (worker !== undefined) {
			worker.reportPending = false;
			handleReport(context, worker, {requestedAt, report});
		}
	},
	'report-failed'(context, {worker: id, outcome}) {
		const worker = context.scheduler.workers.get(id);
		if (worker === undefined) {
			return;
		}

		worker.reportPending = false;
		worker.reportAnsweredAt = Number.NEGATIVE_INFINITY;
		worker.reportDueAt = context.now + (worker.unreconciledUntil > context.now ? unreconciledReportRetryMs : reportRetryMs);
		if (outcome === 'fenced') {
			context.effects.push({type: 'step-down', reason: 'A worker has seen a later owner'});
		}

		worker.unresponsive ||= worker.lastResponseAt <= worker.reportRequestedAt;
		if (outcome === 'other-worker') {
			endCalledIncarnation(context, worker, worker.reportRequestedAt);
		}
	},
	'start-answered'(context, {worker: id, task, run, answer}) {
		const worker = context.scheduler.workers.get(id);
		if (worker !== undefined) {
			handleStartAnswer(context, worker, {task, run, answer});
		}
	},
	'stop-answered'(context, {worker: id, task, run, answer}) {
		const worker = context.scheduler.workers.get(id);
		if (worker !== undefined) {
			handleStopAnswer(context, worker, {task, run, answer});
		}
	},
	'tickets-answered'(context, {call, answer}) {
		handleTickets(context, {call, answer});
	},
	committed(context, {number}) {
		finishCommit(context, {number, stored: true});
	},
	'commit-failed'(context, {number}) {
		finishCommit(context, {number, stored: false});
	},
	'upkeep-answered'(context, event) {
		handleUpkeepAnswer(context, event);
	},
	'move-answered'(context, event) {
		handleMoveAnswer(context, event);
	},
	'admission-published'({scheduler: {admission}}, {isEmpty, stored}) {
		admission.isPending = false;
		admission.isStoredEmpty = isEmpty && stored;
	},
	'wave-published'({scheduler}, {wave, state, stored}) {
		const known = scheduler.waves.get(wave);
		if (known?.published === state && !stored) {
			known.published = 'none';
		}
	},
	'view-not-stored'({scheduler}) {
		scheduler.views.published = '';
	},
};

function runHousekeeping(context: ReducerContext): void {
	const {scheduler, now} = context;
	for (const job of scheduler.jobs.values()) {
		if (job.definition.repeatCount > job.nextOccurrence && !job.cancelled && job.end === undefined) {
			openOccurrences(context, job);
		}
	}

	for (const job of scheduler.endingJobs) {
		removeJob(context, job);
	}

	for (const [id, endedAt] of scheduler.endedJobs) {
		if (now - endedAt > endedRetentionMs) {
			scheduler.endedJobs.delete(id);
		}
	}

	superviseWorkers(context);
	reviewLeases(context);
	if (isInstanceListDue(scheduler, now)) {
		scheduler.instanceListPending = true;
		scheduler.instanceListDueAt = now + idleInstanceListIntervalMs;
		context.effects.push({type: 'list-instances'});
	}

	advanceWaves(context);
	planMoves(context);
}

/**
 * Applies an event to the state of the schedule. The owner dispatches a `ticked` event soon after every other one.
 *
 * @param scheduler - the state; changed
 * @param event - the event
 * @param time - monotonic local time and wall-clock time in milliseconds
 * @returns effects to perform
 * @example
 * reduceScheduler(scheduler, {type: 'ticked'}, {now, timeOfDay});
 */
export function reduceScheduler(scheduler: Scheduler, event: SchedulerEvent, time: EventTime): SchedulerEffect[] {
	const context: ReducerContext = {scheduler, ...time, effects: []};
	const handler = handlers[event.type] as (context: ReducerContext, event: SchedulerEvent) => void;
	handler(context, event);
	return context.effects;
}
