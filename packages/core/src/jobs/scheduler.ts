import {type Configuration, type Resources} from './configuration-schema.js';
import {type ListedInstance, type Move, type Wave} from './instance.js';
import {type Job, type JobEnd, type Step} from './job-schema.js';

/** A worker as its entry in the store describes it. */
export type ListedWorker = {
	readonly id: string;
	readonly address: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly rack: string;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	/** The worker is shutting down and gets no new tasks. */
	readonly leaving: boolean;
	/** Instance that the worker runs on; empty if unknown. */
	readonly instance: string;
	/** Start time of this incarnation of the worker, in milliseconds since 1970. */
	readonly startedAtMs: number;
};

/** A worker that may hold a lease on tasks of an owner of the schedule. The list of holders is stored, so that the next owner can find their tasks. */
export type LeaseHolder = {
	readonly id: string;
	readonly address: string;
	/** Instance that the worker runs on; empty if unknown. */
	readonly instance: string;
};

/** State of a worker as the scheduler knows it. */
export type Worker = {
	readonly id: string;
	listing: ListedWorker | undefined;
	address: string;
	/** Instance that the worker runs on; kept when the store no longer lists the worker. Empty if unknown. */
	instance: string;
	startedAtMs: number;
	/** The worker has answered this owner, and therefore rejects orders of earlier owners. */
	acknowledgedOwner: boolean;
	/** The stored list of holders contains the worker, so that the next owner will ask it for a report. */
	recordedAsHolder: boolean;
	/** Local time until which the worker may run tasks of a former owner that this owner does not know of; 0 once the worker has answered. */
	unreconciledUntil: number;
	/** Last reading of the worker's clock, and the local time at which it was received. */
	clockMs: number;
	clockReadAt: number;
	/** Latest expiry of a lease granted to the worker, on the worker's clock. */
	leaseUntilMs: number;
	used: Resources;
	readonly tasks: Set<Task>;
	reportPending: boolean;
	reportDueAt: number;
	/** Local time of the last request for a report, and of the last answer to any call. */
	reportRequestedAt: number;
	lastResponseAt: number;
	/** Local time of the last sign of life: an answer, or a heartbeat that the worker wrote into the store. */
	lastSeenAt: number;
	/** Sequence number of the last task end that was processed, and of the last one whose effect is stored. */
	receivedEndNumber: number;
	committedEndNumber: number;
	consecutiveFailures: number;
	backoffUntil: number;
	/** The last call was not answered; the worker gets no new tasks until it answers. */
	unresponsive: boolean;
	/** Local time since which the worker has had no tasks. */
	idleSince: number;
	/** The worker gets no new tasks because its instance is about to go down or to move. */
	cordoned: boolean;
};

export type TaskState = 'unassigned' | 'starting' | 'running' | 'stopping';

/** A task of a job. `run` numbers its attempts. */
export type Task = {
	readonly id: string;
	readonly index: number;
	readonly group: TaskGroup;
	state: TaskState;
	worker: Worker | undefined;
	run: number;
	ticket: string;
	startAttempts: number;
	/** Reports requested from this local time on show the task; if one does not, the task has ended. */
	expectedInReportsFrom: number;
	lastOrderAt: number;
	percent: number;
	progressedAt: number;
	/** Speed limit of a best-effort task, in percent of full speed. */
	speedLimitPercent: number;
	speedLimitChangedAt: number;
};

/** Tasks that are placed and retried together: a single task, or all tasks of a gang. */
export type TaskGroup = {
	readonly job: ActiveJob;
	readonly occurrence: number;
	readonly step: number;
	readonly definition: Step;
	readonly tasks: Task[];
	run: number;
	readonly failedRuns: Set<number>;
	checkpoint: string;
	done: boolean;
	earliestStartAt: number;
	/** Local time since which none of its tasks has been assigned to a worker. */
	unassignedSince: number;
	/** Workers on which a run has failed or stalled; others are preferred. */
	readonly failedWorkers: Set<string>;
	/** Local time at which the scheduler stopped the group to relocate it; undefined once it is running again. */
	evictedAt: number | undefined;
};

export type Ticket = {readonly value: string; readonly workerStartedAtMs: number};

export type TicketState = {
	requestPending: boolean;
	requestedAt: number;
	validUntil: number;
	readonly granted: Map<string, Ticket>;
};

export type StepState = {
	readonly occurrence: number;
	readonly step: number;
	readonly groups: TaskGroup[];
	remaining: number;
	tickets: TicketState | undefined;
};

export type ActiveJob = {
	readonly job: Job;
	/** Local time of acceptance. */
	readonly arrivedAt: number;
	/** Length of the critical path through the steps, by their estimated run times. */
	readonly criticalPathMs: number;
	/** Estimated work of all tasks, in thousandths of a core times milliseconds. */
	readonly estimatedWork: number;
	/** The job was accepted before this owner took over; a former owner may have started tasks of it. */
	readonly recovered: boolean;
	readonly occurrences: Map<number, StepState[]>;
	nextOccurrence: number;
	completedOccurrences: number;
	started: boolean;
	cancelled: boolean;
	end: JobEnd | undefined;
};

/** Demand of arriving jobs on a pool in thousandths of a core, whether or not the pool has room for them. */
export type Demand = {
	readonly measuredAt: number;
	readonly smoothed: number;
	/** Demand expected at the time at which an instance requested now gets its first tasks. */
	readonly forecast: number;
};

/** Load and capacity of the workers of one service. */
export type PoolLoad = {
	readonly service: string;
	readonly workers: Worker[];
	/** Thousandths of a core that the workers have, and that tasks use, measured by their dominant resource. */
	capacity: number;
	used: number;
	/** Thousandths of a core needed to finish or start the ready tasks within the target time; tasks that are too late to be useful do not count. */
	backlog: number;
	/** Smoothed and extrapolated demand of arriving jobs. */
	demand: Demand;
	/** Number of long-running tasks that have found no room for some time. */
	starvingTasks: number;
};

/** A write of progress that the store has not confirmed yet. */
export type Commit = {
	readonly number: number;
	readonly jobs: readonly ActiveJob[];
	readonly ends: ReadonlyArray<{readonly worker: Worker; readonly startedAtMs: number; readonly end: number}>;
	readonly holders: readonly Worker[];
	readonly waves: readonly Wave[];
};

/** State of the schedule in the process that owns it. */
export type Scheduler = {
	readonly term: number;
	readonly tookOverAt: number;
	readonly leaseMs: number;
	/** Longest time that a worker may take to stop a task. */
	readonly stopMs: number;
	/** How long before its due time an occurrence may start. */
	readonly earlyMs: number;
	housekeepingDueAt: number;
	configuration: Configuration;
	readonly withdrawnZones: Set<string>;
	readonly workers: Map<string, Worker>;
	/** Start time of the last incarnation of each worker that has definitely ended, by id; the store may still list it for a while. */
	readonly endedIncarnations: Map<string, number>;
	readonly jobs: Map<string, ActiveJob>;
	/** Jobs whose end is stored and whose tasks are still being stopped. */
	readonly endingJobs: Set<ActiveJob>;
	/** Jobs removed from memory, with the local time of their removal; an older read of the store may still contain them. */
	readonly endedJobs: Map<string, number>;
	readonly tasks: Map<string, Task>;
	readonly usedByOrganisation: Map<string, Resources>;
	/** Resources that tasks of a former owner may use on workers that have not answered yet, by organisation. */
	unreconciledByOrganisation: ReadonlyMap<string, Resources>;
	/** Jobs with changes that are not written yet. */
	readonly dirtyJobs: Set<ActiveJob>;
	holdersDirty: boolean;
	commit: Commit | undefined;
	commitNumber: number;
	commitDueAt: number;
	summaryDueAt: number;
	summary: string;
	readonly instances: Map<string, ListedInstance>;
	instanceListDueAt: number;
	instanceListPending: boolean;
	/** Local time at which the latest list of instances was requested. */
	instanceListRequestedAt: number;
	/** Load of each pool when moves were last planned. */
	poolLoads: ReadonlyMap<string, PoolLoad>;
	readonly moves: Map<string, Move>;
	movesDueAt: number;
	readonly waves: Map<number, Wave>;
	readonly dirtyWaves: Set<Wave>;
};
