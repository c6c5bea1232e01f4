import {
	type EndedTask, type OrderAnswer, type RunningTask, type TaskOutcome, type WorkerReport,
} from '@rosemaryquay/core/jobs/event';
import {type ListedWorker} from '@rosemaryquay/core/jobs/scheduler';

/** What a task does once it runs. */
export type Behaviour = {
	readonly durationMs: number;
	/** The run ends as failed instead of done. */
	readonly fails: boolean;
	/** The task runs until it is stopped. */
	readonly lasts: boolean;
	/** The task makes no progress. */
	readonly stalls: boolean;
};

type Run = {
	readonly task: string;
	readonly run: number;
	readonly startedAt: number;
	readonly behaviour: Behaviour;
	stopAt: number | undefined;
};

/** Hears what happens on workers. */
export type Journal = {
	started(worker: string, task: string, run: number, at: number): void;
	ended(worker: string, task: string, run: number, end: TaskOutcome, at: number): void;
	/** A report with the end has reached the owner, and the worker's lease has held from the end until then. */
	shown(ended: EndedTask, at: number): void;
	/** The owner has confirmed the end, and the worker's lease has held from the end until then. */
	confirmed(ended: EndedTask, at: number): void;
};

/** Time that a lasting task takes until it is at work. */
const startupMs = 300;

/**
 * A worker as the platform describes it, on virtual time: leases, fences, run numbers and numbered ends.
 */
export class WorkerModel {
	readonly listing: ListedWorker;
	readonly #stopMs: number;
	readonly #journal: Journal;
	readonly #runs = new Map<string, Run>();
	/** Highest run of each task that was stopped or ended here. */
	readonly #endedRuns = new Map<string, number>();
	#ended: EndedTask[] = [];
	#endNumber = 0;
	#fence = 0;
	#leaseUntilMs = 0;
	/** Ends up to this number came before a lapse of the lease, after which the owner may start their tasks again. */
	#lapsedEnd = 0;
	#isAlive = true;

	constructor(options: {listing: ListedWorker; journal: Journal; stopMs?: number}) {
		this.listing = options.listing;
		this.#journal = options.journal;
		this.#stopMs = options.stopMs ?? 200;
	}

	get isAlive(): boolean {
		return this.#isAlive;
	}

	get running(): readonly string[] {
		return [...this.#runs.keys()];
	}

	start(now: number, order: {fence: number; task: string; run: number; leaseUntilMs: number; behaviour: Behaviour}): OrderAnswer {
		this.advance(now);
		const {fence, task, run, leaseUntilMs, behaviour} = order;
		if (fence < this.#fence) {
			return {outcome: 'fenced', clockMs: now};
		}

		this.#fence = fence;
		const current = this.#runs.get(task);
		if (current?.run === run) {
			this.#leaseUntilMs = Math.max(this.#leaseUntilMs, leaseUntilMs);
			return {outcome: 'accepted', clockMs: now};
		}

		if (leaseUntilMs <= now) {
			return {outcome: 'late', clockMs: now};
		}

		if (current !== undefined || run <= (this.#endedRuns.get(task) ?? 0)) {
			return {outcome: 'superseded', clockMs: now};
		}

		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, leaseUntilMs);
		this.#runs.set(task, {
			task, run, startedAt: now, behaviour, stopAt: undefined,
		});
		this.#journal.started(this.listing.id, task, run, now);
		return {outcome: 'accepted', clockMs: now};
	}

	stop(now: number, order: {fence: number; task: string; run: number}): OrderAnswer {
		this.advance(now);
		const {fence, task, run} = order;
		if (fence < this.#fence) {
			return {outcome: 'fenced', clockMs: now};
		}

		this.#fence = fence;
		this.#endedRuns.set(task, Math.max(run, this.#endedRuns.get(task) ?? 0));
		const current = this.#runs.get(task);
		if (current !== undefined && current.run <= run) {
			current.stopAt ??= now + this.#stopMs;
		}

		return {outcome: 'accepted', clockMs: now};
	}

	/** Reports what runs and what has ended; `isHeard` tells whether the report will reach the owner. */
	report(now: number, request: {fence: number; storedEnd: number; leaseUntilMs: number | undefined; isHeard?: boolean}): WorkerReport | 'fenced' {
		this.advance(now);
		const {fence, storedEnd, leaseUntilMs, isHeard = true} = request;
		if (fence < this.#fence) {
			return 'fenced';
		}

		this.#fence = fence;
		this.#leaseUntilMs = Math.max(this.#leaseUntilMs, leaseUntilMs ?? 0);
		for (const ended of this.#ended.filter(({number}) => number > this.#lapsedEnd)) {
			if (ended.number <= storedEnd) {
				this.#journal.confirmed(ended, now);
			} else if (isHeard) {
				this.#journal.shown(ended, now);
			}
		}

		this.#ended = this.#ended.filter(({number}) => number > storedEnd);

		return {
			startedAtMs: this.listing.startedAtMs, clockMs: now, running: [...this.#runs.values()].map(run => describeRun(run, now)), ended: [...this.#ended],
		};
	}

	/** Ends what has ended by this time: work that is finished, stops, and all of it when the lease has lapsed. */
	advance(now: number): void {
		for (const run of this.#runs.values()) {
			const finishedAt = run.behaviour.lasts || run.behaviour.stalls ? Number.POSITIVE_INFINITY : run.startedAt + run.behaviour.durationMs;
			const endAt = Math.min(finishedAt, run.stopAt ?? Number.POSITIVE_INFINITY, this.#leaseUntilMs);
			if (endAt <= now) {
				this.#end(run, chooseEnd({
					endAt, finishedAt, run, leaseUntilMs: this.#leaseUntilMs,
				}), endAt);
			}
		}

		if (this.#leaseUntilMs <= now) {
			this.#lapsedEnd = this.#endNumber;
		}
	}

	/** Loses power; everything that ran is gone without a report. */
	crash(now: number): void {
		this.advance(now);
		this.#isAlive = false;
		for (const {task, run} of this.#runs.values()) {
			this.#journal.ended(this.listing.id, task, run, 'lapsed', now);
		}

		this.#runs.clear();
	}

	#end(run: Run, end: TaskOutcome, at: number): void {
		this.#runs.delete(run.task);
		this.#endedRuns.set(run.task, Math.max(run.run, this.#endedRuns.get(run.task) ?? 0));
		this.#endNumber++;
		this.#ended.push({
			number: this.#endNumber, task: run.task, run: run.run, end, checkpoint: '',
		});
		this.#journal.ended(this.listing.id, run.task, run.run, end, at);
	}
}

function chooseEnd(options: {endAt: number; finishedAt: number; run: Run; leaseUntilMs: number}): TaskOutcome {
	const {endAt, finishedAt, run, leaseUntilMs} = options;
	if (endAt === finishedAt) {
		return run.behaviour.fails ? 'failed' : 'done';
	}

	return endAt === leaseUntilMs ? 'lapsed' : 'stopped';
}

function describeRun({task, run, startedAt, behaviour}: Run, now: number): RunningTask {
	const whole = behaviour.lasts ? startupMs : behaviour.durationMs;
	const percent = behaviour.stalls ? 0 : Math.min(100, Math.floor((100 * (now - startedAt)) / Math.max(1, whole)));
	return {
		task, run, checkpoint: '', percent, load: 0,
	};
}
