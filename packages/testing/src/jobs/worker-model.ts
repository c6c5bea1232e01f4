import {
	type EndedTask, type OrderAnswer, type OrderOutcome, type RunningTask, type TaskOutcome, type WorkerReport,
} from '@rosemaryquay/core/jobs/state/event';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';

/** Behaviour of a running task. */
export type TaskBehaviour = {
	readonly durationMs: number;
	/** The run ends with the outcome `failed` instead of `done`. */
	readonly fails: boolean;
	/** The task runs until it is stopped. */
	readonly runsUntilStopped: boolean;
	/** The task reports 0 % progress and never ends on its own. */
	readonly stalls: boolean;
	/** The task crashes its worker soon after its start. */
	readonly crashesWorker: boolean;
};

type Run = {
	readonly task: string;
	readonly run: number;
	readonly startedAt: number;
	readonly behaviour: TaskBehaviour;
	stopAt: number | undefined;
};

/** Receives the starts and ends of tasks on workers. */
export type TaskObserver = {
	taskStarted(worker: string, task: string, run: number, at: number): void;
	taskEnded(worker: string, task: string, run: number, end: TaskOutcome, at: number): void;
	/** The worker crashed; the ends that no owner has confirmed are lost. */
	endsLost(worker: string): void;
	/** A report with the end reached the owner. Not called if the worker's lease has lapsed since the end, as the owner may then start the task again. */
	endReported(ended: EndedTask, at: number): void;
	/** The owner confirmed the end. Not called if the worker's lease has lapsed since the end, as the owner may then start the task again. */
	endConfirmed(ended: EndedTask, at: number): void;
	/** The task crashed its worker. */
	workerCrashed(task: string): void;
};

/** Time after its start at which a task crashes its worker. */
const crashDelayMs = 10;

/** Time until a long-running task reports 100 % progress. */
const longRunningStartupMs = 300;

/** Longest lease that a worker accepts, as the platform documents it; longer ones are shortened. */
const longestLeaseMs = 10_000;

/**
 * Model of a worker under the platform's protocol, on virtual time: leases, fencing tokens, run numbers and numbered ends.
 */
export class WorkerModel {
	/** Its entry in the store; the capacity may change while it runs. */
	listing: ListedWorker;
	/** Rate of the worker's own clock, on which its lease is measured. */
	clockRate = 1;
	/** How many times as long as elsewhere the runs take that start now. */
	slowdown = 1;
	readonly #stopMs: number;
	/** Virtual time at which the clock of the worker read 0. */
	readonly #clockStartedAt: number;
	readonly #observer: TaskObserver;
	readonly #onCrash: () => void;
	readonly #runs = new Map<string, Run>();
	/** Highest run number of each task that was stopped or ended on this worker. */
	readonly #endedRuns = new Map<string, number>();
	#ended: EndedTask[] = [];
	#lastEndNumber = 0;
	#fence = 0;
	/** Virtual time at which the lease lapses. */
	#leaseUntil = 0;
	/** Number of the last end before the lease last lapsed. After a lapse the owner may start the tasks again, so the observer is not told that these ends were reported or confirmed. */
	#lastEndBeforeLapse = 0;
	#isAlive = true;

	constructor(options: {listing: ListedWorker; observer: TaskObserver; stopMs?: number; clockStartedAt?: number; onCrash?: () => void}) {
		this.listing = options.listing;
		this.#observer = options.observer;
		this.#stopMs = options.stopMs ?? 200;
		this.#clockStartedAt = options.clockStartedAt ?? 0;
		this.#onCrash = options.onCrash ?? (() => undefined);
	}

	get isAlive(): boolean {
		return this.#isAlive;
	}

	get running(): readonly string[] {
		return [...this.#runs.keys()];
	}

	start(now: number, order: {fence: number; task: string; run: number; leaseUntilMs: number; behaviour: TaskBehaviour}): OrderAnswer {
		this.advance(now);
		const {fence, task, run, leaseUntilMs, behaviour} = order;
		if (fence < this.#fence) {
			return this.#answer('fenced', now);
		}

		this.#fence = fence;
		const current = this.#runs.get(task);
		if (current?.run === run) {
			this.#extendLease(leaseUntilMs, now);
			return this.#answer('accepted', now);
		}

		if (leaseUntilMs <= this.#readClock(now)) {
			return this.#answer('late', now);
		}

		this.#extendLease(leaseUntilMs, now);
		if (current !== undefined || run <= (this.#endedRuns.get(task) ?? 0)) {
			return this.#answer('superseded', now);
		}

		this.#runs.set(task, {
			task, run, startedAt: now, behaviour: {...behaviour, durationMs: behaviour.durationMs * this.slowdown}, stopAt: undefined,
		});
		this.#observer.taskStarted(this.listing.id, task, run, now);
		return this.#answer('accepted', now);
	}

	stop(now: number, order: {fence: number; task: string; run: number}): OrderAnswer {
		this.advance(now);
		const {fence, task, run} = order;
		if (fence < this.#fence) {
			return this.#answer('fenced', now);
		}

		this.#fence = fence;
		this.#endedRuns.set(task, Math.max(run, this.#endedRuns.get(task) ?? 0));
		const current = this.#runs.get(task);
		if (current !== undefined && current.run <= run) {
			current.stopAt ??= now + this.#stopMs;
		}

		return this.#answer('accepted', now);
	}

	/** Reports the running and ended tasks; `willReachOwner` states whether the report will reach the owner. */
	report(now: number, request: {fence: number; storedEnd: number; leaseUntilMs: number | undefined; willReachOwner?: boolean}): WorkerReport | 'fenced' {
		this.advance(now);
		const {fence, storedEnd, leaseUntilMs, willReachOwner = true} = request;
		if (fence < this.#fence) {
			return 'fenced';
		}

		this.#fence = fence;
		this.#extendLease(leaseUntilMs ?? 0, now);
		for (const ended of this.#ended.filter(({number}) => number > this.#lastEndBeforeLapse)) {
			if (ended.number <= storedEnd) {
				this.#observer.endConfirmed(ended, now);
			} else if (willReachOwner) {
				this.#observer.endReported(ended, now);
			}
		}

		this.#ended = this.#ended.filter(({number}) => number > storedEnd);

		return {
			startedAtMs: this.listing.startedAtMs, clockMs: this.#readClock(now), running: [...this.#runs.values()].map(run => describeRun(run, now)), ended: [...this.#ended],
		};
	}

	/** Ends the runs that are due by `now`: finished ones, stopped ones, and all of them once the lease has lapsed. */
	advance(now: number): void {
		for (const run of this.#runs.values()) {
			const finishedAt = run.behaviour.runsUntilStopped || run.behaviour.stalls ? Number.POSITIVE_INFINITY : run.startedAt + run.behaviour.durationMs;
			const endAt = Math.min(finishedAt, run.stopAt ?? Number.POSITIVE_INFINITY, this.#leaseUntil);
			if (endAt <= now) {
				this.#end(run, determineOutcome({
					endAt, finishedAt, run, leaseUntil: this.#leaseUntil,
				}), endAt);
			}
		}

		const culprit = [...this.#runs.values()].find(({behaviour, startedAt}) => behaviour.crashesWorker && startedAt + crashDelayMs <= now);
		if (culprit !== undefined) {
			this.#observer.workerCrashed(culprit.task);
			this.#terminate(now);
			this.#onCrash();
		}

		if (this.#leaseUntil <= now) {
			this.#lastEndBeforeLapse = this.#lastEndNumber;
		}
	}

	/** Crashes; all running tasks end without a report. */
	crash(now: number): void {
		this.advance(now);
		this.#terminate(now);
	}

	#terminate(now: number): void {
		this.#isAlive = false;
		for (const {task, run} of this.#runs.values()) {
			this.#observer.taskEnded(this.listing.id, task, run, 'lapsed', now);
		}

		this.#runs.clear();
		this.#observer.endsLost(this.listing.id);
	}

	#answer(outcome: OrderOutcome, now: number): OrderAnswer {
		return {outcome, clockMs: this.#readClock(now), startedAtMs: this.listing.startedAtMs};
	}

	#extendLease(leaseUntilMs: number, now: number): void {
		this.#leaseUntil = Math.max(this.#leaseUntil, this.#clockStartedAt + (Math.min(leaseUntilMs, this.#readClock(now) + longestLeaseMs) / this.clockRate));
	}

	#readClock(now: number): number {
		return (now - this.#clockStartedAt) * this.clockRate;
	}

	#end(run: Run, end: TaskOutcome, at: number): void {
		this.#runs.delete(run.task);
		this.#endedRuns.set(run.task, Math.max(run.run, this.#endedRuns.get(run.task) ?? 0));
		this.#lastEndNumber++;
		this.#ended.push({
			number: this.#lastEndNumber, task: run.task, run: run.run, end, checkpoint: '',
		});
		this.#observer.taskEnded(this.listing.id, run.task, run.run, end, at);
	}
}

function determineOutcome(options: {endAt: number; finishedAt: number; run: Run; leaseUntil: number}): TaskOutcome {
	const {endAt, finishedAt, run, leaseUntil} = options;
	if (endAt === finishedAt) {
		return run.behaviour.fails ? 'failed' : 'done';
	}

	return endAt === leaseUntil ? 'lapsed' : 'stopped';
}

function describeRun({task, run, startedAt, behaviour}: Run, now: number): RunningTask {
	const totalMs = behaviour.runsUntilStopped ? longRunningStartupMs : behaviour.durationMs;
	const percent = behaviour.stalls ? 0 : Math.min(100, Math.floor((100 * (now - startedAt)) / Math.max(1, totalMs)));
	return {
		task, run, checkpoint: '', percent, load: 0,
	};
}
