import {askTickets} from './ask-tickets.js';
import {chooseWorkers} from './choose-workers.js';
import {compareRanks} from './compare-ranks.js';
import {type Resources} from './configuration-schema.js';
import {placementMisses} from './constants.js';
import {findTerms} from './find-terms.js';
import {isTurn} from './is-turn.js';
import {isWithinLimit} from './is-within-limit.js';
import {listOpenWorkers} from './list-open-workers.js';
import {measureNeed} from './measure-need.js';
import {measureUnseen} from './measure-unseen.js';
import {addResources} from './add-resources.js';
import {occupyWorker} from './occupy-worker.js';
import {type Pass} from './pass.js';
import {rankJob} from './rank-job.js';
import {reserveWorker} from './reserve-worker.js';
import {sendStart} from './send-start.js';
import {
	type ActiveJob, type Member, type Scheduler, type StepState, type Unit, type Worker,
} from './scheduler.js';

/** Runs are numbered apart for each owner, so that they rise without a look at the runs of the owner before. */
const runsPerTerm = 1000;

/** Workers named in one log line. */
const loggedWorkers = 4;

/** Stands for the service of a worker that the store no longer lists. */
const anyService = '';

const noUnseen = new Map<string, Resources>();

/**
 * Places tasks whose turn has come on workers with room, in the order of their jobs' ranks, and orders their start.
 *
 * @param pass - the pass; its state is changed and effects are added
 * @example
 * placeReady(pass);
 */
export function placeReady(pass: Pass): void {
	const {scheduler, now} = pass;
	const unresolved = listUnresolvedServices(scheduler, now);
	scheduler.unseenByOrganisation = unresolved.size === 0 ? noUnseen : measureUnseen(scheduler, now, job => isUnresolved(scheduler, job, unresolved));
	const waiting: ActiveJob[] = [];
	for (const job of scheduler.jobs.values()) {
		if (job.cancelled || job.end !== undefined || (job.recovered && isUnresolved(scheduler, job, unresolved))) {
			continue;
		}

		if (hasIdleUnits(job)) {
			waiting.push(job);
		}
	}

	if (waiting.length === 0) {
		return;
	}

	const open = listOpenWorkers(scheduler, now);
	const misses = new Map<string, number>();
	const ranked = waiting.map(job => ({job, rank: rankJob(scheduler, job, now)})).toSorted((left, right) => compareRanks(left.rank, right.rank));
	for (const {job} of ranked) {
		const {service} = findTerms(scheduler, job);
		const workers = open.get(service) ?? [];
		if (workers.length > 0 && (misses.get(service) ?? 0) < placementMisses) {
			const missed = placeJob(pass, job, workers);
			misses.set(service, (misses.get(service) ?? 0) + missed.length);
			for (const unit of missed) {
				if (unit.definition.longRunning) {
					reserveWorker(pass, unit, workers);
				}
			}
		}
	}
}

/** Services of workers that a former owner used and that have not answered; an unlisted one may serve any. */
function listUnresolvedServices(scheduler: Scheduler, now: number): Set<string> {
	const services = new Set<string>();
	for (const {unresolvedUntil, listing} of scheduler.workers.values()) {
		if (unresolvedUntil > now) {
			services.add(listing?.service ?? anyService);
		}
	}

	return services;
}

/** Any task of the job may still run on a worker that has not answered. */
function isUnresolved(scheduler: Scheduler, job: ActiveJob, unresolved: ReadonlySet<string>): boolean {
	return unresolved.has(anyService) || unresolved.has(job.job.service) || unresolved.has(findTerms(scheduler, job).service);
}

function hasIdleUnits(job: ActiveJob): boolean {
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (isTurn(steps, step) && step.units.some(unit => isIdle(unit))) {
				return true;
			}
		}
	}

	return false;
}

function isIdle({done, members}: Unit): boolean {
	return !done && members.every(({state}) => state === 'idle');
}

/** Places what it can of a job and returns the first unit of each step that found no room. */
function placeJob(pass: Pass, job: ActiveJob, workers: readonly Worker[]): Unit[] {
	const misses: Unit[] = [];
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (isTurn(steps, step) && askTickets(pass, step, workers)) {
				const missed = placeStep(pass, step, workers);
				if (missed !== undefined) {
					misses.push(missed);
				}
			}
		}
	}

	return misses;
}

function placeStep(pass: Pass, step: StepState, workers: readonly Worker[]): Unit | undefined {
	const placed: Member[] = [];
	let missed: Unit | undefined;
	for (const unit of step.units) {
		if (!isIdle(unit) || unit.notBefore > pass.now) {
			continue;
		}

		if (!placeUnit(pass, unit, {step, workers})) {
			missed = unit;
			break;
		}

		placed.push(...unit.members);
	}

	logPlacement(pass, step, placed);
	return missed;
}

/** One line for all tasks of a step that are placed at once. */
function logPlacement({effects, now}: Pass, step: StepState, placed: readonly Member[]): void {
	const [first] = placed;
	if (first === undefined) {
		return;
	}

	const {job} = first.unit;
	effects.push({
		type: 'log',
		level: 'info',
		event: 'tasks-placed',
		fields: {
			job: job.job.id, occurrence: step.occurrence, step: step.step, placed: placed.length, of: step.remaining, run: first.run, ageMs: Math.round(now - job.arrivedAt),
			workers: [...new Set(placed.map(({worker}) => worker?.id))].slice(0, loggedWorkers),
		},
	});
}

function placeUnit(pass: Pass, unit: Unit, options: {step: StepState; workers: readonly Worker[]}): boolean {
	const {scheduler} = pass;
	const {step, workers} = options;
	const need = measureNeed(unit.definition);
	const total = addResources({cpuMillis: 0, memoryMb: 0, accelerators: 0}, need, unit.members.length);
	if (!isWithinLimit(scheduler, unit.job, total)) {
		return false;
	}

	const chosen = chooseWorkers(unit, step, {candidates: workers, now: pass.now});
	if (chosen === undefined) {
		return false;
	}

	const run = Math.max(unit.run, (scheduler.term - 1) * runsPerTerm) + 1;
	for (const [position, member] of unit.members.entries()) {
		const worker = chosen[position];
		if (worker === undefined) {
			return false;
		}

		occupyWorker(scheduler, member, {worker, run, state: 'starting'});
		member.ticket = step.ticket?.good.get(worker.id)?.value ?? '';
		sendStart(pass, member);
	}

	return true;
}
