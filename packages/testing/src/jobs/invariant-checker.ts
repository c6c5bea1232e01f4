import {type EndedTask, type TaskOutcome} from '@rosemaryquay/core/jobs/state/event';
import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type Job, type Step} from '@rosemaryquay/core/jobs/state/job-schema';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';
import {type TaskObserver} from './worker-model.js';

/** Time after a cancellation within which a task of the job may still start. */
const cancellationGraceMs = 3000;

/** Time within which the owner must act on an end that a worker has reported. */
const reactionTimeMs = 100;

/** Fraction by which an organisation may exceed its upper limit; the task that starts may exceed it further. */
const limitTolerance = 0.1;

/** Most runs of a task at the same time where its step allows duplicates. */
const maximumLiveRuns = 2;

/** Time after the end of an owner in which its orders may still be carried out. */
const longestOrderDelayMs = 13_000;

/** Crashes under one task after which it may be started only `maximumStartsAfterCrashes` times more. */
const crashLimit = 3;
const maximumStartsAfterCrashes = 2;

type LiveRun = {readonly worker: string; readonly run: number; readonly startedAt: number};
type TaskContext = {readonly job: Job; readonly definition: Step; readonly occurrence: string; readonly step: number};

/**
 * Checks the starts and ends on workers against the guarantees of the scheduler. It shares no code with the scheduler, so that a fault of the scheduler cannot hide itself.
 */
export class InvariantChecker implements TaskObserver {
	readonly violations: string[] = [];
	readonly startCounts = new Map<string, number>();
	/** Number of runs that started while another run of the same task was under way. */
	duplicateCount = 0;
	/** Core-milliseconds, in thousandths, of runs that ended without completing their task. */
	wastedWork = 0;
	/** Number of workers that each task has crashed. */
	readonly crashCounts = new Map<string, number>();
	/** Time of the first start of each task. */
	readonly firstStartedAt = new Map<string, number>();
	readonly #workers = new Map<string, ListedWorker>();
	readonly #jobs = new Map<string, Job>();
	/** Tasks resolved so far, by id; the definition of a job does not change. */
	readonly #contexts = new Map<string, TaskContext>();
	readonly #cancelledAt = new Map<string, number>();
	readonly #liveRuns = new Map<string, LiveRun[]>();
	/** Runs that ended with the outcome `done`, by task. */
	readonly #doneRuns = new Map<string, number[]>();
	/** Those of them whose end a worker still keeps, by task. */
	readonly #keptDoneRuns = new Map<string, LiveRun[]>();
	readonly #reportedDoneAt = new Map<string, number>();
	readonly #confirmedDone = new Set<string>();
	/** Runs that ended as `done` and whose task started again before an owner had confirmed the end. */
	readonly #restartedBeforeConfirmation = new Set<string>();
	readonly #reportedFailures = new Map<string, Map<number, number>>();
	readonly #startsAfterCrashes = new Map<string, number>();
	#ownerEndedAt = Number.NEGATIVE_INFINITY;
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

	jobAccepted(job: Job): void {
		this.#jobs.set(job.id, job);
	}

	jobCancelled(id: string, at: number): void {
		this.#cancelledAt.set(id, at);
	}

	/** Number of runs under way. */
	get runningCount(): number {
		return [...this.#liveRuns.values()].flat().length;
	}

	isRunning(task: string): boolean {
		return (this.#liveRuns.get(task) ?? []).length > 0;
	}

	isDone(task: string): boolean {
		return this.#doneRuns.has(task);
	}

	taskStarted(worker: string, task: string, run: number, at: number): void {
		this.startCounts.set(task, (this.startCounts.get(task) ?? 0) + 1);
		this.firstStartedAt.set(task, this.firstStartedAt.get(task) ?? at);
		const context = this.#resolveTask(task);
		if (context === undefined) {
			this.#report(at, `${task}: started although its job was never submitted`);
			return;
		}

		const otherRuns = this.#liveRuns.get(task) ?? [];
		this.#liveRuns.set(task, [...otherRuns, {worker, run, startedAt: at}]);
		this.duplicateCount += otherRuns.length > 0 ? 1 : 0;
		const {allowDuplicates, gang, longRunning} = context.definition;
		if (allowDuplicates && !gang && !longRunning) {
			this.#checkDuplicate(task, otherRuns, {worker, at});
		} else {
			this.#checkSingleRun(task, otherRuns, at);
		}

		this.#checkCrashes(task, at);
		this.#checkStepOrder(task, context, at);
		this.#checkCancellation(task, context, at);
		this.#checkWorker(task, context, {worker, at});
		this.#checkLimit(task, context, at);
		const failures = [...this.#reportedFailures.get(task)?.values() ?? []].filter(reportedAt => at > reportedAt + reactionTimeMs).length;
		if (!context.definition.longRunning && failures >= context.job.maximumAttempts) {
			this.#report(at, `${task}: started after all its attempts had failed`);
		}
	}

	taskEnded(worker: string, task: string, run: number, end: TaskOutcome, at: number): void {
		const startedAt = this.#liveRuns.get(task)?.find(live => live.worker === worker && live.run === run)?.startedAt ?? at;
		this.wastedWork += end === 'done' && !this.#doneRuns.has(task) ? 0 : (at - startedAt) * (this.#resolveTask(task)?.definition.cpuMillis ?? 0);
		const others = (this.#liveRuns.get(task) ?? []).filter(live => live.worker !== worker || live.run !== run);
		// Every start looks at all live runs; entries of ended tasks would make that quadratic in the length of the simulation.
		if (others.length === 0) {
			this.#liveRuns.delete(task);
		} else {
			this.#liveRuns.set(task, others);
		}

		if (end === 'done') {
			this.#doneRuns.set(task, [...this.#doneRuns.get(task) ?? [], run]);
			this.#keptDoneRuns.set(task, [...this.#keptDoneRuns.get(task) ?? [], {worker, run, startedAt}]);
		}
	}

	endsLost(worker: string): void {
		for (const [task, runs] of this.#keptDoneRuns) {
			for (const lost of runs.filter(run => run.worker === worker)) {
				this.#restartedBeforeConfirmation.delete(`${task} ${lost.run}`);
			}

			const kept = runs.filter(run => run.worker !== worker);
			if (kept.length === 0) {
				this.#keptDoneRuns.delete(task);
			} else if (kept.length < runs.length) {
				this.#keptDoneRuns.set(task, kept);
			}
		}
	}

	workerCrashed(task: string): void {
		this.crashCounts.set(task, (this.crashCounts.get(task) ?? 0) + 1);
	}

	endReported({task, run, end}: EndedTask, at: number): void {
		if (end === 'done' && !this.#reportedDoneAt.has(task)) {
			this.#reportedDoneAt.set(task, at);
		}

		if (end === 'failed') {
			const failures = this.#reportedFailures.get(task) ?? new Map<number, number>();
			this.#reportedFailures.set(task, failures.set(run, Math.min(at, failures.get(run) ?? at)));
			this.#checkFailures(task, failures.size, at);
		}
	}

	/** Discards the ends reported within `reactionTimeMs` before the owner ended, because it may not have acted on them. */
	ownerEnded(at: number): void {
		this.#ownerEndedAt = at;
		for (const [task, reportedAt] of this.#reportedDoneAt) {
			if (at - reportedAt < reactionTimeMs) {
				this.#reportedDoneAt.delete(task);
			}
		}

		for (const failures of this.#reportedFailures.values()) {
			for (const [run, reportedAt] of failures) {
				if (at - reportedAt < reactionTimeMs) {
					failures.delete(run);
				}
			}
		}
	}

	endConfirmed({task, run, end}: EndedTask, at: number): void {
		if (end !== 'done') {
			return;
		}

		this.#confirmedDone.add(task);
		if (this.#restartedBeforeConfirmation.has(`${task} ${run}`)) {
			this.#report(at, `${task}: confirmed as done after it had been started again`);
		}
	}

	#report(at: number, text: string): void {
		this.violations.push(`${Math.round(at)} ms ${text}`);
	}

	#resolveTask(task: string): TaskContext | undefined {
		const resolved = this.#contexts.get(task) ?? this.#parseTask(task);
		if (resolved !== undefined) {
			this.#contexts.set(task, resolved);
		}

		return resolved;
	}

	#parseTask(task: string): TaskContext | undefined {
		const [id = '', occurrence = '', step] = task.split('.');
		const job = this.#jobs.get(id);
		const definition = job?.steps[Number(step)];
		return job === undefined || definition === undefined
			? undefined
			: {
				job, definition, occurrence, step: Number(step),
			};
	}

	#checkSingleRun(task: string, otherRuns: readonly LiveRun[], at: number): void {
		if (otherRuns.length > 0) {
			this.#report(at, `${task}: two concurrent runs, the other on ${otherRuns[0]?.worker}`);
		}

		if (this.#confirmedDone.has(task) || at > (this.#reportedDoneAt.get(task) ?? at) + reactionTimeMs) {
			this.#report(at, `${task}: started again after it was done`);
		}

		for (const {run} of this.#keptDoneRuns.get(task) ?? []) {
			this.#restartedBeforeConfirmation.add(`${task} ${run}`);
		}
	}

	/** A step that allows duplicates may have two runs of a task, on different workers. An order of a former owner may start one after the end of the other is confirmed. */
	#checkDuplicate(task: string, otherRuns: readonly LiveRun[], options: {worker: string; at: number}): void {
		const {worker, at} = options;
		if (otherRuns.length >= maximumLiveRuns) {
			this.#report(at, `${task}: ${otherRuns.length + 1} concurrent runs`);
		}

		if (otherRuns.some(live => live.worker === worker)) {
			this.#report(at, `${task}: two concurrent runs on worker ${worker}`);
		}

		if (this.#confirmedDone.has(task) && at > this.#ownerEndedAt + longestOrderDelayMs) {
			this.#report(at, `${task}: started again after it was confirmed as done`);
		}
	}

	#checkFailures(task: string, count: number, at: number): void {
		const context = this.#resolveTask(task);
		if (context !== undefined && !context.definition.longRunning && !context.definition.gang && count > context.job.maximumAttempts) {
			this.#report(at, `${task}: ${count} failed runs of ${context.job.maximumAttempts} allowed`);
		}
	}

	#checkCrashes(task: string, at: number): void {
		if ((this.crashCounts.get(task) ?? 0) < crashLimit) {
			return;
		}

		const starts = (this.#startsAfterCrashes.get(task) ?? 0) + 1;
		this.#startsAfterCrashes.set(task, starts);
		if (starts > maximumStartsAfterCrashes) {
			this.#report(at, `${task}: started ${starts} times after it had crashed ${crashLimit} workers`);
		}
	}

	#checkStepOrder(task: string, {job, definition, occurrence}: TaskContext, at: number): void {
		for (const earlier of definition.after) {
			const count = job.steps[earlier]?.count ?? 0;
			for (let index = 0; index < count; index++) {
				if (!this.#doneRuns.has(`${job.id}.${occurrence}.${earlier}.${index}`)) {
					this.#report(at, `${task}: started before step ${earlier} was done`);
					return;
				}
			}
		}
	}

	#checkCancellation(task: string, {job}: TaskContext, at: number): void {
		const cancelledAt = this.#cancelledAt.get(job.id);
		if (cancelledAt !== undefined && at > cancelledAt + cancellationGraceMs) {
			this.#report(at, `${task}: started ${Math.round(at - cancelledAt)} ms after its cancellation`);
		}
	}

	#checkWorker(task: string, context: TaskContext, options: {worker: string; at: number}): void {
		const {worker, at} = options;
		const listing = this.#workers.get(worker);
		const queue = this.#configuration.queues.find(({name}) => name === context.job.queue);
		if (listing === undefined || (queue !== undefined && listing.service !== queue.service)) {
			this.#report(at, `${task}: started on worker ${worker}, which does not serve its queue`);
			return;
		}

		let cpuMillis = 0;
		let siblings = 0;
		for (const [other, runs] of this.#liveRuns) {
			const otherContext = this.#resolveTask(other);
			for (const live of runs) {
				if (live.worker === worker && otherContext !== undefined) {
					cpuMillis += otherContext.definition.fills ? 0 : otherContext.definition.cpuMillis;
					siblings += otherContext.job.id === context.job.id && otherContext.occurrence === context.occurrence && otherContext.step === context.step ? 1 : 0;
				}
			}
		}

		if (cpuMillis > listing.capacity.cpuMillis) {
			this.#report(at, `${task}: worker ${worker} runs ${cpuMillis} of ${listing.capacity.cpuMillis} millicores`);
		}

		if (context.definition.antiAffinity > 0 && siblings > context.definition.antiAffinity) {
			this.#report(at, `${task}: ${siblings} tasks of its step on worker ${worker}`);
		}
	}

	#checkLimit(task: string, {job, definition}: TaskContext, at: number): void {
		const limit = this.#configuration.organisations.find(({name}) => name === job.organisation)?.limit.cpuMillis ?? 0;
		if (limit === 0) {
			return;
		}

		let cpuMillis = 0;
		for (const [other, runs] of this.#liveRuns) {
			const context = this.#resolveTask(other);
			if (context?.job.organisation === job.organisation) {
				cpuMillis += runs.length * context.definition.cpuMillis;
			}
		}

		if (cpuMillis > (limit * (1 + limitTolerance)) + definition.cpuMillis) {
			this.#report(at, `${task}: organisation ${job.organisation} runs ${cpuMillis} of ${limit} millicores`);
		}
	}
}
