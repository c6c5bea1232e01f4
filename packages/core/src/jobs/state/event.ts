import {type Configuration} from './configuration-schema.js';
import {type ListedInstance, type WaveRequest} from './instance.js';
import {type Job} from './job-schema.js';
import {type ListedWorker} from './scheduler.js';

/** A task that a worker reports as running. */
export type RunningTask = {
	readonly task: string;
	readonly run: number;
	readonly checkpoint: string;
	/** Progress of the task; for a long-running task, progress of its start-up, 100 once it has started up. */
	readonly percent: number;
	/** Tail latency in milliseconds of a task that serves users, otherwise thousandths of a core in use. */
	readonly load: number;
};

/**
 * How a run ended. `lapsed`: its lease expired. `failed` counts towards the `maximumAttempts` of the job, except for
 * long-running tasks; every other outcome but `done` only makes the task run again.
 */
export type TaskOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

/** A task that a worker reports as ended. */
export type EndedTask = {
	/** Sequence number of the end on its worker. */
	readonly number: number;
	readonly task: string;
	readonly run: number;
	readonly end: TaskOutcome;
	readonly checkpoint: string;
};

/** A worker's report of its running tasks and of the ends that it still keeps. */
export type WorkerReport = {
	readonly startedAtMs: number;
	readonly clockMs: number;
	readonly running: readonly RunningTask[];
	readonly ended: readonly EndedTask[];
};

/**
 * Outcome of an order to a worker.
 * `fenced`: the worker has seen a later owner.
 * `superseded`: another run of the task runs on the worker, or this run or a later one has ended or was stopped there.
 * `late`: the lease had expired when the order arrived.
 * `full`: the worker has no room for the task.
 * `ticket`: the order has no ticket, or one that the worker refused.
 * `unhealthy`: the worker takes no orders at the moment; counts as a failure of the worker.
 * `other-worker`: another worker has the address.
 * `invalid`: the worker considers the order malformed.
 * `withheld`: this process did not send the order.
 * `unreachable`: the worker could not be connected to; the order was definitely not sent.
 * `unanswered`: the order may have been carried out, or may still be.
 */
export type OrderOutcome = 'accepted' | 'fenced' | 'superseded' | 'late' | 'full' | 'ticket' | 'unhealthy' | 'other-worker' | 'invalid' | 'withheld' | 'unreachable' | 'unanswered';

export type OrderAnswer = {readonly outcome: OrderOutcome; readonly clockMs?: number | undefined; readonly startedAtMs?: number | undefined};

/**
 * Answer to a request for tickets.
 * `decided`: the workers with tickets may run the step; the tickets are valid for `validMs` milliseconds.
 * `refused`: the service has not accepted the request, and does not handle it later.
 * `unanswered`: the answer is no longer awaited.
 */
export type TicketAnswer =
	| {readonly outcome: 'decided'; readonly tickets: ReadonlyArray<{readonly worker: string; readonly value: string}>; readonly validMs: number}
	| {readonly outcome: 'refused'}
	| {readonly outcome: 'unanswered'};

export type SchedulerEvent =
	| {readonly type: 'ticked'}
	| {readonly type: 'configuration-changed'; readonly configuration: Configuration}
	| {readonly type: 'zones-withdrawn'; readonly zones: readonly string[]}
	| {readonly type: 'waves-requested'; readonly waves: readonly WaveRequest[]; readonly done?: ReadonlyMap<number, readonly string[]>}
	| {readonly type: 'job-accepted'; readonly job: Job}
	| {readonly type: 'job-cancelled'; readonly id: string}
	| {readonly type: 'worker-listed'; readonly worker: ListedWorker}
	| {readonly type: 'worker-unlisted'; readonly id: string}
	/** `isComplete`: all entries of the list could be read; true by default. */
	| {readonly type: 'instances-listed'; readonly instances: readonly ListedInstance[]; readonly requestedAt: number; readonly isComplete?: boolean}
	/** The request for the list of instances failed. */
	| {readonly type: 'instances-unlisted'}
	| {readonly type: 'worker-reported'; readonly worker: string; readonly requestedAt: number; readonly report: WorkerReport}
	| {readonly type: 'report-failed'; readonly worker: string; readonly outcome: OrderOutcome}
	| {readonly type: 'start-answered'; readonly worker: string; readonly task: string; readonly run: number; readonly answer: OrderAnswer}
	| {readonly type: 'stop-answered'; readonly worker: string; readonly task: string; readonly run: number; readonly answer: OrderAnswer}
	/** `call`: number of the call, as in the effect. */
	| {readonly type: 'tickets-answered'; readonly call: number; readonly answer: TicketAnswer}
	| {readonly type: 'committed'; readonly number: number}
	| {readonly type: 'commit-failed'; readonly number: number}
	/** `foreign`: the order does not apply to this instance or wave, and repeating it is useless. `fenced`: a later owner has sent orders about this instance. `busy`: any other refusal. `unanswered`: the order may have been carried out. */
	| {readonly type: 'upkeep-answered'; readonly wave: number; readonly instance: string; readonly outcome: 'accepted' | 'busy' | 'foreign' | 'fenced' | 'unanswered'}
	/** The outcomes are those of `upkeep-answered`. */
	| {readonly type: 'move-answered'; readonly instance: string; readonly pool: string; readonly outcome: 'accepted' | 'busy' | 'foreign' | 'fenced' | 'unanswered'}
	/** The admission record that came with a summary is stored, or may not be. */
	| {readonly type: 'admission-published'; readonly isEmpty: boolean; readonly stored: boolean}
	| {readonly type: 'wave-published'; readonly wave: number; readonly state: 'running' | 'completed'; readonly stored: boolean}
	/** The store did not take the view of the schedule. */
	| {readonly type: 'view-not-stored'};

/** Monotonic local time and wall-clock time at which an event is handled, both in milliseconds. */
export type EventTime = {readonly now: number; readonly timeOfDay: number};
