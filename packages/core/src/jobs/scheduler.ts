import {type Configuration, type Resources} from './configuration-schema.js';
import {type ListedInstance, type Move, type Wave} from './instance.js';
import {type Job, type JobEnd, type Step} from './job-schema.js';

/** A worker as the platform lists it. */
export type ListedWorker = {
	readonly id: string;
	readonly address: string;
	readonly service: string;
	readonly availabilityZone: string;
	readonly rack: string;
	readonly labels: readonly string[];
	readonly capacity: Resources;
	/** The worker is going away and gets no new tasks. */
	readonly leaving: boolean;
	/** Instance that the worker runs on; empty when it names none. */
	readonly instance: string;
	/** Start of this life of the worker, in milliseconds since 1970. */
	readonly bornMs: number;
};

/** A worker that an owner of the schedule has given tasks to. */
export type Holder = {
	readonly id: string;
	readonly address: string;
	/** Instance that the worker runs on; empty when it names none. */
	readonly instance: string;
};

/** What the scheduler knows of a worker. */
export type Worker = {
	readonly id: string;
	listing: ListedWorker | undefined;
	address: string;
	/** Instance that the worker runs on, also when the store no longer lists the worker; empty when it names none. */
	instance: string;
	bornMs: number;
	/** The worker has answered this owner, and so refuses earlier ones. */
	confirmed: boolean;
	/** The store names the worker as a holder, so that the next owner will ask it. */
	recorded: boolean;
	/** Until then tasks of a former owner may run here unseen; 0 once the worker has answered. */
	unresolvedUntil: number;
	/** A reading of the worker's clock and the local time at which it was received. */
	clockMs: number;
	clockAt: number;
	/** Latest end of a lease given to the worker, on its own clock. */
	leaseUntilMs: number;
	used: Resources;
	readonly members: Set<Member>;
	reporting: boolean;
	reportDueAt: number;
	/** Local time at which the last report was asked for, and at which the worker last answered any call. */
	reportAskedAt: number;
	answeredAt: number;
	/** Local time of the last sign of life: an answer, or an entry that the worker wrote into the store. */
	heardAt: number;
	/** Highest number of an end that was taken in, and the highest whose effect is stored. */
	seenEnd: number;
	storedEnd: number;
	failuresInRow: number;
	avoidUntil: number;
	/** The last call went unanswered; gets no new tasks until it answers. */
	silent: boolean;
	/** Local time since which the worker has run nothing. */
	idleSince: number;
	/** Gets no new tasks because its instance is about to go down or to move. */
	cordoned: boolean;
};

export type MemberState = 'idle' | 'starting' | 'running' | 'stopping';

/** One task. */
export type Member = {
	readonly task: string;
	readonly index: number;
	readonly unit: Unit;
	state: MemberState;
	worker: Worker | undefined;
	run: number;
	ticket: string;
	startAttempts: number;
	/** Local time from which a report must show the task unless it has ended. */
	settledAt: number;
	orderedAt: number;
	percent: number;
	progressedAt: number;
	/** Speed limit of a filler, in percent. */
	speed: number;
	speedChangedAt: number;
};

/** What starts and ends together: one task, or all tasks of a gang. */
export type Unit = {
	readonly job: ActiveJob;
	readonly occurrence: number;
	readonly step: number;
	readonly definition: Step;
	readonly members: Member[];
	run: number;
	readonly failedRuns: Set<number>;
	checkpoint: string;
	done: boolean;
	notBefore: number;
	/** Local time since which no task of the unit has been on a worker. */
	idleSince: number;
	/** Workers on which the unit has failed. */
	readonly avoided: Set<string>;
	/** Local time at which the unit ended by the system's own order; undefined while it is at work. */
	orderedAwayAt: number | undefined;
};

export type Ticket = {readonly value: string; readonly bornMs: number};

export type TicketState = {
	asking: boolean;
	askedAt: number;
	validUntil: number;
	readonly good: Map<string, Ticket>;
};

export type StepState = {
	readonly occurrence: number;
	readonly step: number;
	readonly units: Unit[];
	remaining: number;
	ticket: TicketState | undefined;
};

export type ActiveJob = {
	readonly job: Job;
	/** Local time of acceptance. */
	readonly arrivedAt: number;
	/** Length of the longest chain of estimated run times. */
	readonly chainMs: number;
	/** Estimated core-milliseconds in all. */
	readonly work: number;
	/** The job was accepted before this owner took over, so a former owner may have started tasks. */
	readonly recovered: boolean;
	readonly occurrences: Map<number, StepState[]>;
	nextOccurrence: number;
	doneOccurrences: number;
	begun: boolean;
	cancelled: boolean;
	end: JobEnd | undefined;
};

/** Thousandths of a core that a pool is asked for by arriving jobs, whether or not they find room. */
export type Demand = {
	readonly measuredAt: number;
	readonly smoothed: number;
	/** Demand at the time at which an instance called in now gets its first tasks. */
	readonly forecast: number;
};

/** Load and room of the workers of one service. */
export type PoolLoad = {
	readonly service: string;
	readonly workers: Worker[];
	/** Thousandths of a core that its workers have, and that tasks occupy by the dimension that is scarcest. */
	capacity: number;
	used: number;
	/** Thousandths of a core that would let all tasks whose turn has come, and that are still of use, end or start soon. */
	wanted: number;
	/** Demand of arriving jobs, smoothed and extrapolated. */
	demand: Demand;
	/** Lasting tasks that found no room for a while. */
	starving: number;
};

export type Commit = {
	readonly number: number;
	readonly jobs: readonly ActiveJob[];
	readonly ends: ReadonlyArray<{readonly worker: Worker; readonly bornMs: number; readonly end: number}>;
	readonly holders: readonly Worker[];
	readonly waves: readonly Wave[];
};

/** The state of the schedule at its owner. */
export type Scheduler = {
	readonly term: number;
	readonly tookOverAt: number;
	readonly leaseMs: number;
	/** Time that a worker may take to stop a task. */
	readonly stopMs: number;
	/** Time before an occurrence is due from which it may start. */
	readonly earlyMs: number;
	housekeepingDueAt: number;
	configuration: Configuration;
	readonly withdrawnZones: Set<string>;
	readonly workers: Map<string, Worker>;
	/** Lives of workers that have certainly ended, by id; the store may still list them for a while. */
	readonly endedLives: Map<string, number>;
	readonly jobs: Map<string, ActiveJob>;
	/** Jobs whose end is stored while tasks of them are still being stopped. */
	readonly endingJobs: Set<ActiveJob>;
	/** Jobs that have left the memory, by the local time of their end; an older reading of the store may still show them. */
	readonly endedJobs: Map<string, number>;
	readonly members: Map<string, Member>;
	readonly usedByOrganisation: Map<string, Resources>;
	/** What tasks of a former owner may occupy on workers that have not answered yet, by organisation. */
	unseenByOrganisation: ReadonlyMap<string, Resources>;
	readonly dirty: Set<ActiveJob>;
	holdersDirty: boolean;
	commit: Commit | undefined;
	commitNumber: number;
	commitDueAt: number;
	summaryDueAt: number;
	summary: string;
	readonly instances: Map<string, ListedInstance>;
	instancesDueAt: number;
	instancesReading: boolean;
	/** Local time at which the latest list of instances was asked for. */
	instancesAskedAt: number;
	/** Load of each pool at the last plan of moves. */
	poolLoads: ReadonlyMap<string, PoolLoad>;
	readonly moves: Map<string, Move>;
	movesDueAt: number;
	readonly waves: Map<number, Wave>;
	readonly dirtyWaves: Set<Wave>;
};
