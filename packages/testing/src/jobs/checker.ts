import {type EndedTask, type TaskOutcome} from '@rosemaryquay/core/jobs/event';
import {type Configuration} from '@rosemaryquay/core/jobs/configuration-schema';
import {type Job, type Step} from '@rosemaryquay/core/jobs/job-schema';
import {type ListedWorker} from '@rosemaryquay/core/jobs/scheduler';
import {type Journal} from './worker-model.js';

/** Time after a cancellation within which a task may still start. */
const cancellationMs = 3000;

/** Time within which the owner has to act on an end that a worker has shown. */
const noticeMs = 100;

/** Part by which an organisation may exceed its upper limit. */
const limitOverage = 0.1;

type Live = {readonly worker: string; readonly run: number};
type Place = {readonly job: Job; readonly definition: Step; readonly occurrence: string; readonly step: number};

/**
 * Checks what workers see against the promises. It shares no code with the decisions that it checks.
 */
export class Checker implements Journal {
	readonly violations: string[] = [];
	readonly starts = new Map<string, number>();
	/** Time of the first start of each task. */
	readonly firstStarts = new Map<string, number>();
	readonly #workers = new Map<string, ListedWorker>();
	readonly #jobs = new Map<string, Job>();
	readonly #cancelledAt = new Map<string, number>();
	readonly #live = new Map<string, Live[]>();
	/** Runs that ended as done, by task. */
	readonly #done = new Map<string, number[]>();
	readonly #shownDone = new Map<string, number>();
	readonly #confirmedDone = new Set<string>();
	/** Runs that were done before a later start of their task, while no owner had confirmed them. */
	readonly #overtaken = new Set<string>();
	readonly #shownFailures = new Map<string, Map<number, number>>();
	#configuration: Configuration;

	constructor(options: {configuration: Configuration; workers: readonly ListedWorker[]}) {
		this.#configuration = options.configuration;
		for (const worker of options.workers) {
			this.#workers.set(worker.id, worker);
		}
	}

	addWorker(worker: ListedWorker): void {
		this.#workers.set(worker.id, worker);
	}

	configure(configuration: Configuration): void {
		this.#configuration = configuration;
	}

	accepted(job: Job): void {
		this.#jobs.set(job.id, job);
	}

	cancelled(id: string, at: number): void {
		this.#cancelledAt.set(id, at);
	}

	/** Number of tasks that run at this moment. */
	get running(): number {
		return [...this.#live.values()].flat().length;
	}

	isRunning(task: string): boolean {
		return (this.#live.get(task) ?? []).length > 0;
	}

	isDone(task: string): boolean {
		return this.#done.has(task);
	}

	started(worker: string, task: string, run: number, at: number): void {
		this.starts.set(task, (this.starts.get(task) ?? 0) + 1);
		this.firstStarts.set(task, this.firstStarts.get(task) ?? at);
		const place = this.#locate(task);
		if (place === undefined) {
			this.#report(at, `${task}: started though no caller handed its job in`);
			return;
		}

		const others = this.#live.get(task) ?? [];
		this.#live.set(task, [...others, {worker, run}]);
		if (!place.definition.allowDuplicates) {
			this.#checkOnce(task, others, at);
		}

		this.#checkOrder(task, place, at);
		this.#checkCancellation(task, place, at);
		this.#checkWorker(task, place, {worker, at});
		this.#checkLimit(task, place, at);
		const failures = [...this.#shownFailures.get(task)?.values() ?? []].filter(shownAt => at > shownAt + noticeMs).length;
		if (!place.definition.longRunning && failures >= place.job.maximumAttempts) {
			this.#report(at, `${task}: started after all its attempts had failed`);
		}
	}

	ended(worker: string, task: string, run: number, end: TaskOutcome): void {
		this.#live.set(task, (this.#live.get(task) ?? []).filter(live => live.worker !== worker || live.run !== run));
		if (end === 'done') {
			this.#done.set(task, [...this.#done.get(task) ?? [], run]);
		}
	}

	shown({task, run, end}: EndedTask, at: number): void {
		if (end === 'done' && !this.#shownDone.has(task)) {
			this.#shownDone.set(task, at);
		}

		if (end === 'failed') {
			const failures = this.#shownFailures.get(task) ?? new Map<number, number>();
			this.#shownFailures.set(task, failures.set(run, Math.min(at, failures.get(run) ?? at)));
		}
	}

	/** What an owner has seen only just before its end has not been noted: it had no time to act on it. */
	ownerEnded(at: number): void {
		for (const [task, shownAt] of this.#shownDone) {
			if (at - shownAt < noticeMs) {
				this.#shownDone.delete(task);
			}
		}

		for (const failures of this.#shownFailures.values()) {
			for (const [run, shownAt] of failures) {
				if (at - shownAt < noticeMs) {
					failures.delete(run);
				}
			}
		}
	}

	confirmed({task, run, end}: EndedTask, at: number): void {
		if (end !== 'done') {
			return;
		}

		this.#confirmedDone.add(task);
		if (this.#overtaken.has(`${task} ${run}`)) {
			this.#report(at, `${task}: confirmed as done, though it was started again before`);
		}
	}

	#report(at: number, text: string): void {
		this.violations.push(`${Math.round(at)} ms ${text}`);
	}

	#locate(task: string): Place | undefined {
		const [id = '', occurrence = '', step] = task.split('.');
		const job = this.#jobs.get(id);
		const definition = job?.steps[Number(step)];
		return job === undefined || definition === undefined
			? undefined
			: {
				job, definition, occurrence, step: Number(step),
			};
	}

	#checkOnce(task: string, others: readonly Live[], at: number): void {
		if (others.length > 0) {
			this.#report(at, `${task}: two runs at the same time, the other one on ${others[0]?.worker}`);
		}

		if (this.#confirmedDone.has(task) || at > (this.#shownDone.get(task) ?? at) + noticeMs) {
			this.#report(at, `${task}: started again after it was done`);
		}

		for (const run of this.#done.get(task) ?? []) {
			this.#overtaken.add(`${task} ${run}`);
		}
	}

	#checkOrder(task: string, {job, definition, occurrence}: Place, at: number): void {
		for (const earlier of definition.after) {
			const count = job.steps[earlier]?.count ?? 0;
			for (let index = 0; index < count; index++) {
				if (!this.#done.has(`${job.id}.${occurrence}.${earlier}.${index}`)) {
					this.#report(at, `${task}: started before step ${earlier} was done`);
					return;
				}
			}
		}
	}

	#checkCancellation(task: string, {job}: Place, at: number): void {
		const cancelledAt = this.#cancelledAt.get(job.id);
		if (cancelledAt !== undefined && at > cancelledAt + cancellationMs) {
			this.#report(at, `${task}: started ${Math.round(at - cancelledAt)} ms after its cancellation`);
		}
	}

	#checkWorker(task: string, place: Place, options: {worker: string; at: number}): void {
		const {worker, at} = options;
		const listing = this.#workers.get(worker);
		const queue = this.#configuration.queues.find(({name}) => name === place.job.queue);
		if (listing === undefined || (queue !== undefined && listing.service !== queue.service)) {
			this.#report(at, `${task}: started on worker ${worker}, which does not serve its queue`);
			return;
		}

		let cpuMillis = 0;
		let same = 0;
		for (const [other, lives] of this.#live) {
			const otherPlace = this.#locate(other);
			for (const live of lives) {
				if (live.worker === worker && otherPlace !== undefined) {
					cpuMillis += otherPlace.definition.fills ? 0 : otherPlace.definition.cpuMillis;
					same += otherPlace.job.id === place.job.id && otherPlace.occurrence === place.occurrence && otherPlace.step === place.step ? 1 : 0;
				}
			}
		}

		if (cpuMillis > listing.capacity.cpuMillis) {
			this.#report(at, `${task}: worker ${worker} runs ${cpuMillis} of ${listing.capacity.cpuMillis} thousandths of a core`);
		}

		if (place.definition.antiAffinity > 0 && same > place.definition.antiAffinity) {
			this.#report(at, `${task}: ${same} tasks of its step on worker ${worker}`);
		}
	}

	#checkLimit(task: string, {job, definition}: Place, at: number): void {
		const limit = this.#configuration.organisations.find(({name}) => name === job.organisation)?.limit.cpuMillis ?? 0;
		if (limit === 0) {
			return;
		}

		let cpuMillis = 0;
		for (const [other, lives] of this.#live) {
			const place = this.#locate(other);
			if (place?.job.organisation === job.organisation) {
				cpuMillis += lives.length * place.definition.cpuMillis;
			}
		}

		if (cpuMillis > (limit * (1 + limitOverage)) + definition.cpuMillis) {
			this.#report(at, `${task}: organisation ${job.organisation} runs ${cpuMillis} of ${limit} thousandths of a core`);
		}
	}
}
