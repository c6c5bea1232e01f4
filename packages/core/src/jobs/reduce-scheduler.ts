import {addJob} from './add-job.js';
import {advanceWaves} from './advance-waves.js';
import {askReports} from './ask-reports.js';
import {
	endedMemoryMs, failedReportPauseMs, idleInstanceListIntervalMs, instanceListIntervalMs, unresolvedReportPauseMs,
} from './constants.js';
import {createWorker} from './create-worker.js';
import {type SchedulerEffect} from './effect.js';
import {type Moment, type SchedulerEvent} from './event.js';
import {finishCommit} from './finish-commit.js';
import {endLife} from './end-life.js';
import {forgetJob} from './forget-job.js';
import {openOccurrences} from './open-occurrences.js';
import {type Pass} from './pass.js';
import {placeReady} from './place-ready.js';
import {planMoves} from './plan-moves.js';
import {publishSummary} from './publish-summary.js';
import {recordInstances} from './record-instances.js';
import {recordMove} from './record-move.js';
import {recordReport} from './record-report.js';
import {recordStart} from './record-start.js';
import {recordStop} from './record-stop.js';
import {recordTickets} from './record-tickets.js';
import {recordUpkeep} from './record-upkeep.js';
import {requestWaves} from './request-waves.js';
import {type Scheduler} from './scheduler.js';
import {stopJob} from './stop-job.js';
import {tendWorkers} from './tend-workers.js';
import {writeProgress} from './write-progress.js';

type Handlers = {[Type in SchedulerEvent['type']]: (pass: Pass, event: Extract<SchedulerEvent, {type: Type}>) => void};

/** Interval between two looks at every task and instance; a twentieth of the shortest time-out there. */
const housekeepingIntervalMs = 50;

const handlers: Handlers = {
	ticked(pass) {
		const {scheduler, now} = pass;
		if (now >= scheduler.housekeepingDueAt) {
			scheduler.housekeepingDueAt = now + housekeepingIntervalMs;
			keepHouse(pass);
		}

		placeReady(pass);
		writeProgress(pass);
		askReports(pass);
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
	'waves-requested'(pass, {waves, done}) {
		requestWaves(pass, waves, done);
	},
	'job-accepted'(pass, {job}) {
		addJob(pass, job);
	},
	'job-cancelled'(pass, {id}) {
		const job = pass.scheduler.jobs.get(id);
		if (job === undefined || job.cancelled || job.end !== undefined) {
			return;
		}

		job.cancelled = true;
		pass.scheduler.dirty.add(job);
		stopJob(pass, job);
	},
	'worker-listed'({scheduler, now}, {worker: listing}) {
		if (listing.bornMs <= (scheduler.endedLives.get(listing.id) ?? -1)) {
			return;
		}

		const known = scheduler.workers.get(listing.id);
		const worker = known ?? createWorker({...listing, now});
		worker.listing = listing;
		worker.address = listing.address;
		worker.instance = listing.instance;
		worker.heardAt = now;
		if (known === undefined) {
			scheduler.workers.set(worker.id, worker);
			return;
		}

		if (worker.confirmed && worker.bornMs < listing.bornMs) {
			worker.confirmed = false;
			worker.cordoned = false;
			worker.reportDueAt = now;
		}
	},
	'worker-unlisted'({scheduler}, {id}) {
		const worker = scheduler.workers.get(id);
		if (worker !== undefined) {
			worker.listing = undefined;
		}
	},
	'instances-listed'(pass, {instances, askedAt}) {
		recordInstances(pass, {instances, askedAt});
	},
	'instances-unlisted'({scheduler, now}) {
		scheduler.instancesReading = false;
		scheduler.instancesDueAt = now + instanceListIntervalMs;
	},
	'worker-reported'(pass, {worker: id, sentAt, report}) {
		const worker = pass.scheduler.workers.get(id);
		if (worker !== undefined) {
			worker.reporting = false;
			recordReport(pass, worker, {sentAt, report});
		}
	},
	'report-failed'(pass, {worker: id, outcome}) {
		const worker = pass.scheduler.workers.get(id);
		if (worker === undefined) {
			return;
		}

		worker.reporting = false;
		worker.reportDueAt = pass.now + (worker.unresolvedUntil > pass.now ? unresolvedReportPauseMs : failedReportPauseMs);
		if (outcome === 'fenced') {
			pass.effects.push({type: 'step-down', reason: 'A worker has seen a later owner'});
		}

		worker.silent ||= worker.answeredAt <= worker.reportAskedAt;
		if (outcome === 'other-worker') {
			endLife(pass, worker, 'address-reused');
		}
	},
	'start-answered'(pass, {worker: id, task, run, answer}) {
		const worker = pass.scheduler.workers.get(id);
		if (worker !== undefined) {
			recordStart(pass, worker, {task, run, answer});
		}
	},
	'stop-answered'(pass, {worker: id, task, run, answer}) {
		const worker = pass.scheduler.workers.get(id);
		if (worker !== undefined) {
			recordStop(pass, worker, {task, run, answer});
		}
	},
	'tickets-answered'(pass, event) {
		recordTickets(pass, event);
	},
	committed(pass, {number}) {
		finishCommit(pass, {number, stored: true});
	},
	'commit-failed'(pass, {number}) {
		finishCommit(pass, {number, stored: false});
	},
	'upkeep-answered'(pass, event) {
		recordUpkeep(pass, event);
	},
	'move-answered'(pass, event) {
		recordMove(pass, event);
	},
	'wave-published'({scheduler}, {wave, state, stored}) {
		const known = scheduler.waves.get(wave);
		if (known?.published === state && !stored) {
			known.published = 'none';
		}
	},
};

function keepHouse(pass: Pass): void {
	const {scheduler, now} = pass;
	for (const job of scheduler.jobs.values()) {
		if (job.job.repeatCount > job.nextOccurrence && !job.cancelled && job.end === undefined) {
			openOccurrences(pass, job);
		}
	}

	for (const job of scheduler.endingJobs) {
		forgetJob(pass, job);
	}

	for (const [id, endedAt] of scheduler.endedJobs) {
		if (now - endedAt > endedMemoryMs) {
			scheduler.endedJobs.delete(id);
		}
	}

	tendWorkers(pass);
	if (!scheduler.instancesReading && now >= scheduler.instancesDueAt) {
		scheduler.instancesReading = true;
		scheduler.instancesDueAt = now + idleInstanceListIntervalMs;
		pass.effects.push({type: 'list-instances'});
	}

	advanceWaves(pass);
	planMoves(pass);
	publishSummary(pass);
}

/**
 * Changes the state of the schedule by one event. The owner runs a `ticked` event soon after every other one.
 *
 * @param scheduler - the state; changed
 * @param event - what happened
 * @param moment - local steady time and time of day in milliseconds
 * @returns what is to be done
 * @example
 * reduceScheduler(scheduler, {type: 'ticked'}, {now, timeOfDay});
 */
export function reduceScheduler(scheduler: Scheduler, event: SchedulerEvent, moment: Moment): SchedulerEffect[] {
	const pass: Pass = {scheduler, ...moment, effects: []};
	const handler = handlers[event.type] as (pass: Pass, event: SchedulerEvent) => void;
	handler(pass, event);
	return pass.effects;
}
