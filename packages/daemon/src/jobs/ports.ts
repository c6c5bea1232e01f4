/**
 * Ports of the daemon in the sense of ports and adapters: the interfaces of the platform that it runs on. The package
 * `fleet-platform` implements them.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {
	type OrderAnswer, type OrderOutcome, type TicketAnswer, type WorkerReport,
} from '@rosemaryquay/core/jobs/state/event';
import {type ListedInstance, type WaveRequest} from '@rosemaryquay/core/jobs/state/instance';
import {type Step} from '@rosemaryquay/core/jobs/state/job-schema';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Comparison, type Entry, type Operation} from '@rosemaryquay/core/store/transaction';

/** Identifies the owner of the schedule. Sent with each order, so that recipients can refuse orders of an earlier owner. */
export type OwnerIdentity = {
	/** Name of the owning instance. */
	readonly instance: string;
	/** Increases with each owner; a recipient that has seen a higher one refuses the order. */
	readonly fencingToken: number;
};

/** An order to a worker about one run of a task. */
export type Order = {
	readonly owner: OwnerIdentity;
	readonly worker: string;
	readonly address: string;
	readonly task: string;
	readonly run: number;
};

export type StartOrder = Order & {
	readonly payload: string;
	/** Expiry of the run lease on the worker's own clock, in milliseconds. */
	readonly leaseUntilMs: number;
	readonly checkpoint: string;
	readonly ticket: string;
};

export type ReportRequest = {
	readonly owner: OwnerIdentity;
	readonly worker: string;
	readonly address: string;
	/** New expiry of the run leases of all tasks of the worker, on its own clock, in milliseconds; undefined while that clock is unknown. */
	readonly leaseUntilMs: number | undefined;
	/** Acknowledges the ended tasks numbered up to this one: their ends are stored, and the worker may discard them. */
	readonly storedEnd: number;
	/** Long polling: time in milliseconds that the worker may wait for a task to end before it answers. */
	readonly waitMs: number;
};

export type ReportAnswer = {readonly ok: true; readonly report: WorkerReport} | {readonly ok: false; readonly outcome: OrderOutcome};

/** Calls to the workers. Each resolves to an outcome and never rejects. */
export type WorkerCalls = {
	start(order: StartOrder): Promise<OrderAnswer>;
	stop(order: Order): Promise<OrderAnswer>;
	/** `percent` is the speed limit, in percent of full speed. */
	limitSpeed(order: Order & {readonly percent: number}): Promise<OrderAnswer>;
	/** Renews the run leases of a worker's tasks, acknowledges the ended ones, and returns what the worker runs. */
	requestReport(request: ReportRequest): Promise<ReportAnswer>;
};

/**
 * Outcome of an order to the service that manages instances. `foreign`: the service does not accept the order for this
 * instance or wave, and retrying is useless. `fenced`: it has seen a later owner. `busy`: any other refusal. `unanswered`: the service was temporarily
 * unavailable or gave no answer, and the order may have been carried out.
 */
export type InstanceAnswer = 'accepted' | 'busy' | 'foreign' | 'fenced' | 'unanswered';

/** Calls to the service that manages instances. Each resolves to an outcome and never rejects. */
/** A list of instances; `isComplete` is false if it has entries that could not be read. */
export type InstanceList = {readonly instances: readonly ListedInstance[]; readonly isComplete: boolean};

export type InstanceCalls = {
	/** Resolves to undefined unless the whole list could be read. */
	list(): Promise<InstanceList | undefined>;
	requestMaintenance(order: {readonly owner: OwnerIdentity; readonly instance: string; readonly wave: number}): Promise<InstanceAnswer>;
	move(order: {readonly owner: OwnerIdentity; readonly instance: string; readonly pool: string}): Promise<InstanceAnswer>;
};

/** Calls to the service that issues tickets: permits for workers to run a step. Each resolves to an outcome and never rejects. */
export type TicketCalls = {
	requestTickets(request: {readonly job: string; readonly occurrence: number; readonly step: number; readonly workers: readonly string[]}): Promise<TicketAnswer>;
};

/** A job as a caller submits it. */
export type Submission = {
	readonly payload: string;
	readonly steps: readonly Step[];
	readonly repeatCount: number;
	readonly startAtMs: number;
	readonly intervalMs: number;
};

export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Format of the API for callers: decodes requests and encodes responses. */
export type CallerFormat = {
	readonly contentType: string;
	isJobId(text: string): boolean;
	/** Time in milliseconds that the caller waits for the answer; undefined when it sets no deadline. */
	readDeadline(headers: IncomingHttpHeaders): number | undefined;
	readApiKey(headers: IncomingHttpHeaders): string | undefined;
	decodeSubmission(body: Uint8Array): {readonly ok: true; readonly submission: Submission} | {readonly ok: false; readonly problem: string};
	encodeState(state: JobState): string;
	encodeWaiting(count: number): string;
	encodeProblem(problem: string): string;
};

/**
 * What the operators have set: the configuration, withdrawn availability zones, and maintenance waves. A wave is a group of
 * instances that operators ask to have maintained together.
 */
export type OperatorState = {
	readonly configuration: Configuration | undefined;
	/** Store revision of the configuration. */
	readonly revision: number;
	readonly withdrawnZones: readonly string[];
	readonly waves: readonly WaveRequest[];
};

/** Location and format in the store of what the operators have set, and of the states of waves. */
export type OperatorFormat = {
	readonly prefix: string;
	readonly waveStatusPrefix: string;
	decode(entries: Iterable<Entry>): OperatorState;
	/** Creates the condition that the configuration of a revision is still in force. */
	createConfigurationCondition(revision: number): Comparison;
	encodeWaveStatus(wave: number, state: 'running' | 'completed'): Operation;
	/** Number of the wave if its status says that it is completed, otherwise undefined. */
	decodeCompletedWave(entry: Entry): number | undefined;
};

/** Location and format of the registrations of workers in the store. */
export type WorkerFormat = {
	readonly prefix: string;
	decodeId(key: string): string;
	/** Returns undefined for an entry that does not describe a usable worker. */
	decode(entry: Entry): ListedWorker | undefined;
};

/** The platform that the system runs on: its store, its services, and the formats of what it stores and exchanges. */
export type Platform = {
	readonly store: Store;
	readonly workers: WorkerCalls;
	readonly instances: InstanceCalls;
	readonly tickets: TicketCalls;
	readonly callerFormat: CallerFormat;
	readonly operatorFormat: OperatorFormat;
	readonly registrationFormat: WorkerFormat;
	close(): Promise<void>;
};

