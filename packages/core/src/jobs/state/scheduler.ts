/**
 * State of the job scheduler. Unless a comment says otherwise, fields that end in `At` or `Until` are monotonic local times
 * in milliseconds, and fields that end in `AtMs` are wall-clock times in milliseconds since 1970. `clockMs` and
 * `leaseUntilMs` are on the worker's own clock.
 */
import {type Estimates, type RunMeasurement, type StepRunTimes} from '../estimates/estimates.js';
import {type BurstPattern} from '../pools/burst-pattern.js';
import {type PoolPolicy} from '../pools/pool-policy.js';
import {type OrderWindow} from '../runs/order-window.js';
import {type JobOutlook} from '../order/job-outlook.js';
import {type DataWait} from '../placement/data-wait.js';
import {type Screening} from '../placement/screening.js';
import {type ServiceShares} from '../order/service-shares.js';
import {type ViewState} from '../views/view-state.js';
import {type Configuration, type Resources} from './configuration-schema.js';
import {
	type Drain, type ListedInstance, type Move, type Wave,
} from './instance.js';
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
	/** Service that the worker belongs to; empty if unknown. */
	readonly service: string;
	/** Start time of the incarnation that is known to hold no longer lease than owners grant; 0 while a longer one is possible. */
	readonly boundedStartedAtMs: number;
};

/** A run that was lost with its worker. */
export type LostRun = {
	readonly task: Task;
	readonly run: number;
	/** Time since the last order for the run, in milliseconds. */
	readonly ageMs: number;
	/** The worker had confirmed the start. */
	readonly confirmed: boolean;
	/** It was among the last runs started on the worker. */
	readonly recent: boolean;
	/** It ran in isolation: no other run was started on the worker with it or after it. */
	readonly isolated: boolean;
	/** It was tried together with other suspected runs. */
	readonly isShared: boolean;
};

/** Runs of a worker whose lease expired, until it is known whether the worker crashed or was only unreachable. */
export type UnexplainedLoss = {readonly lostAt: number; readonly runs: readonly LostRun[]};

/** Crash of a worker with the runs that it had, until one of them explains it. */
export type Crash = {readonly at: number; readonly runs: ReadonlyArray<{readonly group: TaskGroup; readonly run: number}>};

/** What has shown another incarnation of a worker; `order-answer`: the start time or the clock in the answer to an order. */
export type RestartEvidence = 'report' | 'order-answer' | 'store-entry';

/** State of a worker as the scheduler knows it. */
export type Worker = {
	readonly id: string;
	listing: ListedWorker | undefined;
	address: string;
	/** Local time since which the worker is known by its present address and start time. */
	locatedAt: number;
	/** Instance that the worker runs on; kept when the store no longer lists the worker. Empty if unknown. */
	instance: string;
	/** Service that the worker belonged to when it was recorded or listed last; empty if unknown. */
	service: string;
	/** Start time of the incarnation that sent the last report; 0 before the first report. */
	startedAtMs: number;
	/** Start time of the latest incarnation that has answered any call; 0 if none has named it. */
	answeredStartedAtMs: number;
	/** Local time since which the store does not list the worker; of no meaning while it does. */
	unlistedAt: number;
	/** Start time of the incarnation that the store listed last, also if it lists none now; 0 if none. */
	listedStartedAtMs: number;
	/** The worker has answered this owner, and therefore rejects orders of earlier owners. */
	acknowledgedOwner: boolean;
	/** The stored list of holders contains the worker, so that the next owner will ask it for a report. */
	recordedAsHolder: boolean;
	/** Start time of the incarnation that is known to hold no longer lease than owners grant; 0 if none. The stored list of holders names it. */
	boundedStartedAtMs: number;
	/** Local time until which the worker is unreconciled: it may run tasks of a former owner that this owner does not know of. 0 once the worker has answered. */
	unreconciledUntil: number;
	/** Last reading of the worker's clock. */
	clockMs: number;
	/** Local time at which `clockMs` was received. */
	clockReadAt: number;
	/** Latest expiry of a lease granted to the worker, on the worker's clock. */
	leaseUntilMs: number;
	/** Local time at which a lease was last sent to the worker. */
	leaseSentAt: number;
	/** Local time until which the worker may carry out calls of this owner that were meant for its earlier incarnation. */
	earlierCallsUntil: number;
	/** Released runs with unanswered start orders, by task: the next incarnation of the worker may carry such an order out. */
	readonly openStarts: Map<string, {readonly run: number; readonly orderedAt: number}>;
	/** Resources reserved by its tasks; a new object after each change. */
	used: Resources;
	/** What each organisation uses of it, and the value of `used` when this was measured. */
	measuredUsage: {readonly used: Resources; readonly byOrganisation: ReadonlyMap<string, Resources>} | undefined;
	readonly tasks: Set<Task>;
	reportPending: boolean;
	reportDueAt: number;
	/** Local time of the last request for a report. */
	reportRequestedAt: number;
	/** Local time of the last answer to any call. */
	lastResponseAt: number;
	/** Local time of the last answer, or of the last heartbeat that the worker wrote into the store, whichever is later. */
	lastSeenAt: number;
	/** Sequence number of the last task end that was processed. */
	receivedEndNumber: number;
	/** Sequence number of the last task end whose effect is stored. */
	committedEndNumber: number;
	/** Sequence number of the last task end that the worker was told to forget in a request that it answered. */
	acknowledgedEndNumber: number;
	/** Sequence number of the last task end that the pending request tells it to forget; 0 if none. */
	pendingAcknowledgement: number;
	/** The last request for a report acknowledged no ends because a start order was open. */
	acknowledgementWithheld: boolean;
	/** Local time of the answer to the last request for a report; `-Infinity` if it was not answered. */
	reportAnsweredAt: number;
	/**
	 * Other runs of done tasks, and of the members of their gangs, that may still start elsewhere, by the number of the end.
	 * This end and later ones are not acknowledged before these runs are ruled out.
	 */
	readonly contestedEnds: Map<number, ReadonlyArray<{readonly task: Task; readonly run: number}>>;
	consecutiveFailures: number;
	backoffUntil: number;
	/** Local time from which the worker is tried before its back-off is over if its service has no other worker. */
	retryDueAt: number;
	/** The last call was not answered; the worker gets no new tasks until it answers. */
	unresponsive: boolean;
	/** Local time since which the worker has had no tasks. */
	idleSince: number;
	/** Its last report shows runs that are not assigned to it and are being stopped; what they use is not in `used`, so the worker gets no new tasks. */
	hasStrayRuns: boolean;
	/** The worker gets no new tasks because its instance is about to go down or to move. */
	cordoned: boolean;
	/** It was shutting down when the store listed it last; kept when the store no longer lists it. */
	wasLeaving: boolean;
	unexplainedLoss: UnexplainedLoss | undefined;
	/** Start time of the last incarnation that was logged as new, by what has shown it. */
	readonly loggedRestarts: Map<RestartEvidence, number>;
	/** It was logged that the worker, a recorded holder, has not answered this owner yet. */
	silenceLogged: boolean;
	/** It was logged that the lease of stored runs on the worker has run out. */
	leaseEndLogged: boolean;
	/** It was logged that this owner no longer waits for the worker as a holder. */
	abandonmentLogged: boolean;
};

export type TaskState = 'unassigned' | 'starting' | 'running' | 'stopping';

/** A task of a job. `run` is the number of its latest run. */
export type Task = {
	readonly id: string;
	readonly index: number;
	readonly group: TaskGroup;
	state: TaskState;
	worker: Worker | undefined;
	run: number;
	ticket: string;
	/** Orders sent to start the current run. */
	startOrders: number;
	/** Those of them that may still be carried out, because no answer to them has arrived. */
	openStartOrders: number;
	/** Reports requested from this local time on show the task; if one does not, the task has ended. */
	expectedInReportsFrom: number;
	lastOrderAt: number;
	/** Local time of the last report that showed the run; 0 before the first. An answer to another call may come from a later incarnation. */
	seenRunningAt: number;
	/** Progress of the task; for a long-running task, progress of its start-up, 100 once it has started up. */
	percent: number;
	progressedAt: number;
	/** Speed limit of a best-effort task, in percent of full speed. */
	speedLimitPercent: number;
	speedLimitChangedAt: number;
	/** Measurement of its run time; undefined while it is not measured. */
	measurement: RunMeasurement | undefined;
	/** Second run of the same task on another worker; it takes the place of the task when this run ends first without completing it. */
	duplicate: Task | undefined;
};

/** Where a run of a task is: the worker, the start time of its incarnation, and the number of the run. */
export type RecordedRun = {readonly worker: string; readonly startedAtMs: number; readonly run: number};

/** Tasks that are placed and retried together: a single task, or all tasks of a gang. */
export type TaskGroup = {
	readonly job: ActiveJob;
	/** Number of the occurrence of the job, from 0; a job that is not scheduled has only number 0. */
	readonly occurrence: number;
	/** Position of the step in its job. */
	readonly step: number;
	readonly definition: Step;
	readonly tasks: Task[];
	run: number;
	readonly failedRuns: Set<number>;
	/** Runs during which a worker crashed, whether or not they caused it. */
	readonly crashedRuns: Set<number>;
	/** It may have crashed a worker, so it runs in isolation until a run shows that it does not. */
	suspected: boolean;
	/** Number of runs that may have caused the latest crash, its own included; 0 before the first one. */
	suspectCount: number;
	/** A worker crashed in a trial that it shared with other suspected tasks, so one of them is at fault. */
	hasFailedSharedTrial: boolean;
	/** Its latest run in isolation. Where there are many suspects, several of them share a worker. */
	isolation: {readonly run: number; readonly startedAt: number; readonly isShared: boolean} | undefined;
	/** Worker that gets no other tasks so that the next run can be in isolation there, and the local time since which it gets none. */
	emptying: {readonly worker: string; readonly since: number} | undefined;
	checkpoint: string;
	done: boolean;
	earliestStartAt: number;
	/** Local time since which none of its tasks has been assigned to a worker. */
	unassignedSince: number;
	/** Workers on which a run has failed or stalled, with the local time until which they are avoided while others could run the group; later, others are only preferred. */
	readonly failedWorkers: Map<string, number>;
	/** Local time of the last start of a duplicate run; `-Infinity` before the first. */
	duplicatedAt: number;
	/** Time in milliseconds from the last start order to the end of the run that is done; undefined if this owner did not order it. */
	durationMs: number | undefined;
	/** Its present run, if that is to be stored: it lasts, and no order for another run of the group may still be carried out. */
	recordedRun: RecordedRun | undefined;
	/** The store may name a run of it, so that no other run is started. */
	mayHaveStoredRun: boolean;
	/** The run that a former owner has stored; no other run of it was ordered since. */
	formerRun: RecordedRun | undefined;
	/** Local time at which the scheduler stopped the group to relocate it; undefined once it is running again. */
	relocatedAt: number | undefined;
};

/** Permit for one incarnation of a worker to run a step. */
export type Ticket = {readonly value: string; readonly workerStartedAtMs: number; readonly validUntil: number};

/** A worker that got no ticket for a step, when, and how often in a row. */
export type TicketRefusal = {readonly workerStartedAtMs: number; readonly refusedAt: number; readonly count: number};

export type TicketState = {
	/** Number of the call that is awaited; undefined if none is. */
	pendingCall: number | undefined;
	/** Workers named in the last request. */
	requestedWorkers: readonly string[];
	/** Local time from which the next request may be sent; later than now after one without an answer. */
	requestDueAt: number;
	/** A request of the step has been answered. */
	isAnswered: boolean;
	/** Requests in a row that were answered without a ticket. */
	fruitlessRequests: number;
	/** A group could not be placed on the workers with tickets, so further workers are asked for. */
	isInsufficient: boolean;
	/** Tickets by the id of the worker; expired ones are removed before each placement. */
	readonly granted: Map<string, Ticket>;
	readonly refused: Map<string, TicketRefusal>;
};

/** A call to the service that issues tickets whose answer may still arrive. */
export type TicketCall = {
	/** Calls are numbered in the order in which they are sent, from 1. */
	readonly number: number;
	readonly job: string;
	readonly occurrence: number;
	readonly step: number;
	readonly workers: readonly string[];
	readonly sentAt: number;
	/** Time in milliseconds that the service takes for it by the rule of the queue. */
	readonly costMs: number;
	/** Time in milliseconds by that rule for this call and those that were ahead of it when it was sent. */
	readonly queuedCostMs: number;
	/** Local time from which the step is asked for anew; an answer that arrives later is used as well. */
	overdueAt: number;
	isOverdue: boolean;
	/** The service has answered a later call, so this one does not wait there any more. */
	isHandled: boolean;
};

/** The service that issues tickets, as far as its calls show. It handles the calls of one instance in turn. */
export type TicketService = {
	/** Calls without an answer, the oldest first. */
	readonly calls: TicketCall[];
	/** Number of the last call. */
	callNumber: number;
	/** Local time of its last answer with a decision. */
	answeredAt: number;
	/** Time that its calls take, as a multiple of what the rules of the queues say; 1 at least. */
	slowness: number;
	/** Calls that have become overdue since the last answer. */
	overdueCalls: number;
	/** Calls in a row that it refused. */
	refusedCalls: number;
	/** Local time from which the next call may be sent; later than now after a refusal. */
	callDueAt: number;
};

export type StepState = {
	/** Number of the occurrence of the job, from 0; a job that is not scheduled has only number 0. */
	readonly occurrence: number;
	/** Position of the step in its job. */
	readonly step: number;
	readonly groups: TaskGroup[];
	remaining: number;
	/** Local time since which the steps that it depends on are done; of no meaning before. */
	readySince: number;
	tickets: TicketState | undefined;
};

export type ActiveJob = {
	readonly definition: Job;
	/** Local time of acceptance. */
	readonly acceptedAt: number;
	/** The job was accepted before this owner took over; a former owner may have started tasks of it. */
	readonly recovered: boolean;
	/** A former owner has stored runs of it. */
	hasFormerRuns: boolean;
	readonly occurrences: Map<number, StepState[]>;
	/** Run times by the position of the step. */
	readonly runTimes: Array<StepRunTimes | undefined>;
	nextOccurrence: number;
	completedOccurrences: number;
	started: boolean;
	/** Services other than that of the acceptance to whose workers tasks were about to be sent. */
	readonly otherServices: Set<string>;
	/** Those of them that are stored, so that the next owner looks for tasks on their workers. */
	readonly storedServices: Set<string>;
	cancelled: boolean;
	end: JobEnd | undefined;
	/** Number of changes to its tasks; a measured outlook is valid until it changes. */
	changes: number;
	/** The last measured outlook. */
	outlook: JobOutlook | undefined;
	/** Wait for capacity near its data; undefined if it has not waited. */
	dataWait: DataWait | undefined;
	/** Whether it had tasks to place, and the number of changes to its tasks then. */
	readiness: {readonly changes: number; readonly hasReadyTasks: boolean} | undefined;
};

/** Demand on a pool in thousandths of a core, of jobs that have just arrived and of running long-running tasks, whether or not the pool has room for it. */
export type Demand = {
	readonly measuredAt: number;
	readonly smoothed: number;
	/** Demand expected at the time at which an instance requested now gets its first tasks. */
	readonly forecast: number;
};

/** Load and capacity of a pool. The pool has the name of the service that its workers offer. */
export type PoolLoad = {
	readonly name: string;
	readonly workers: Worker[];
	/** Cores of the workers, in thousandths. */
	capacity: number;
	/** Usage of the tasks, measured by their dominant resource, in thousandths of a core. */
	used: number;
	/** Part of `used` that belongs to late jobs. */
	usedByLateJobs: number;
	/** Thousandths of a core needed to finish or start the ready tasks within the target time; tasks that are too late to be useful do not count. */
	backlog: number;
	/** Part of `backlog` that belongs to late jobs. */
	backlogOfLateJobs: number;
	/** Jobs that can no longer meet their latency objective. */
	readonly lateJobs: Set<ActiveJob>;
	/** Smoothed and extrapolated demand. */
	demand: Demand;
	/** Number of long-running task groups that have waited too long for a worker, and of upkeeps that have waited too long only for long-running tasks to move. */
	unmetLongRunningNeeds: number;
};

/** A job in a write of progress, with the services and the task groups with a run that the write names. */
export type CommittedJob = {readonly job: ActiveJob; readonly otherServices: readonly string[]; readonly recordedGroups: ReadonlySet<TaskGroup>};

/** A write of progress that the store has not confirmed yet. */
export type Commit = {
	readonly number: number;
	readonly jobs: readonly CommittedJob[];
	/** Task ends of each worker that are stored with this write: those numbered up to `endNumber`. */
	readonly acknowledgements: ReadonlyArray<{readonly worker: Worker; readonly startedAtMs: number; readonly endNumber: number}>;
	readonly holders: ReadonlyArray<{readonly worker: Worker; readonly address: string}>;
	readonly waves: readonly Wave[];
};

/** Ids of the instances in a list. */
export type InstanceListing = {
	readonly ids: ReadonlySet<string>;
	/** Local time at which the list was requested. */
	readonly requestedAt: number;
	/** All entries of the list could be read. */
	readonly isComplete: boolean;
};

/** State of the schedule in the process that owns it. */
export type Scheduler = {
	/** Number of this ownership; higher than that of every earlier owner. */
	readonly term: number;
	readonly tookOverAt: number;
	/** Local time from which on no former owner has sent an order or a lease; the time of the takeover if it is not known. */
	readonly formerOrdersEndedAt: number;
	readonly leaseMs: number;
	/** Longest lease that a worker accepts; it shortens longer ones. */
	readonly longestLeaseMs: number;
	/** Longest time that a worker may take to stop a task. */
	readonly stopMs: number;
	/** Bound of the platform: how long before its due time an occurrence may start. Not used: occurrences are opened once they are due. */
	readonly earlyMs: number;
	housekeepingDueAt: number;
	/** Local time of the last `ticked` event. */
	tickedAt: number;
	/** Local time at which the process last resumed after a pause, during which it read no answers. */
	resumedAt: number;
	configuration: Configuration;
	readonly withdrawnZones: Set<string>;
	readonly workers: Map<string, Worker>;
	/** Start time of the last incarnation of each worker that has definitely ended, by id; the store may still list it for a while. */
	readonly endedIncarnations: Map<string, number>;
	/** Workers that got tickets last, by queue and position of the step; they are asked for first. */
	readonly ticketHolders: Map<string, Set<string>>;
	readonly ticketService: TicketService;
	readonly jobs: Map<string, ActiveJob>;
	/** Jobs whose end is stored and whose tasks are still being stopped. */
	readonly endingJobs: Set<ActiveJob>;
	/** Jobs removed from memory, with the local time of their removal; an older read of the store may still contain them. */
	readonly endedJobs: Map<string, number>;
	readonly tasks: Map<string, Task>;
	/** Crashes of the last seconds that no task given up explains, the oldest first. */
	readonly crashes: Crash[];
	/** Number of suspected tasks of each service that were done in their trials since the last crash of one of its workers. */
	readonly survivedTrials: Map<string, number>;
	/** Local time at which a task of each service was last given up. */
	readonly givenUpAt: Map<string, number>;
	readonly orderWindow: OrderWindow;
	readonly usedByOrganisation: Map<string, Resources>;
	/** Services of workers that may run tasks of a former owner and have not answered, as of the last placement. */
	unreconciledServices: ReadonlySet<string>;
	/** Resources that tasks of a former owner may use on workers that have not answered yet, by organisation. */
	unreconciledByOrganisation: ReadonlyMap<string, Resources>;
	/** Mean work of the jobs of each queue, in thousandths of a core times milliseconds; learned from the jobs as they are first ordered. */
	readonly meanWorkByQueue: Map<string, number>;
	/** Shares of the organisations on each service for which they compete, as of the last decision on the order. */
	readonly contention: Map<string, ServiceShares>;
	/** Mean usage of each service by organisation over the last seconds, in thousandths of a core by the dominant resource; lost at a takeover. */
	meanUsage: ReadonlyMap<string, ReadonlyMap<string, number>>;
	/** Local time at which `meanUsage` was last updated. */
	meanUsageAt: number;
	/** Number of the last decision on the order, from 1. */
	orderNumber: number;
	/** Waiting jobs as the last decision sorted them, before shares. */
	previousOrder: readonly JobOutlook[];
	/** Services whose tasks crash their workers, with the workers on which tasks are tried, as of the last placement. */
	screenings: ReadonlyMap<string, Screening>;
	/** Waiting jobs in the order of placement, as of the last decision. */
	placementOrder: readonly ActiveJob[];
	/** Local time from which the next decision on the order may be logged. */
	orderLogDueAt: number;
	/** Jobs with changes that are not written yet. */
	readonly dirtyJobs: Set<ActiveJob>;
	/** Jobs with lasting runs that are to be stored with the next write, and the local time at which they are written without another one. */
	readonly newlyRecordedJobs: Set<ActiveJob>;
	recordsDueAt: number;
	holdersDirty: boolean;
	/** Local time from which it is checked again which workers hold no long lease any more. */
	leaseReviewDueAt: number;
	commit: Commit | undefined;
	commitNumber: number;
	commitDueAt: number;
	summaryDueAt: number;
	/** Not used. */
	summary: string;
	readonly admission: {
		/** The last write of the admission record is not answered yet. */
		isPending: boolean;
		/** The stored record is known to be empty. */
		isStoredEmpty: boolean;
	};
	readonly instances: Map<string, ListedInstance>;
	instanceListDueAt: number;
	instanceListPending: boolean;
	/** Local time at which the latest list of instances was requested. */
	instanceListRequestedAt: number;
	/** The latest list of instances; undefined before the first. */
	instanceListing: InstanceListing | undefined;
	/** Load of each pool when moves were last planned. */
	poolLoads: ReadonlyMap<string, PoolLoad>;
	/** Rules by which moves are planned. */
	poolPolicy: PoolPolicy;
	/** Bursts of the pools so far. */
	readonly burstPattern: BurstPattern;
	readonly moves: Map<string, Move>;
	/** Instances whose workers are drained for another pool, by id. */
	readonly drains: Map<string, Drain>;
	movesDueAt: number;
	readonly waves: Map<number, Wave>;
	readonly dirtyWaves: Set<Wave>;
	readonly estimates: Estimates;
	readonly views: ViewState;
};
