import {type Resources} from './configuration-schema.js';

/** State of an instance. `moving`: to another pool. `upkeep`: being rebooted for a wave. */
export type InstanceState = 'up' | 'moving' | 'upkeep' | 'down';

/** An instance as the platform lists it. */
export type ListedInstance = {
	readonly id: string;
	readonly pool: string;
	readonly state: InstanceState;
	readonly availabilityZone: string;
	/** Labels of the workers that run on it; undefined where the platform does not list them. */
	readonly labels?: readonly string[] | undefined;
	readonly capacity: Resources;
	/** Worker that runs on the instance; empty while none does. */
	readonly worker: string;
};

/** A request by the operators to reboot a set of instances within a given time. */
export type WaveRequest = {
	readonly number: number;
	readonly instances: readonly string[];
	readonly durationMs: number;
	/** Maximum number of instances of the wave that may be down at the same time; those that are draining or requested count as well. */
	readonly maximumDown: number;
};

/** One life of a worker. */
export type Incarnation = {readonly worker: string; readonly startedAtMs: number};

/**
 * Progress of the upkeep of an instance. `unconfirmed` means that the request was refused because the instance is not up,
 * which may be the effect of an earlier request whose answer was lost. `down` means that the request was accepted, or that
 * the list shows the instance in state `upkeep` because of a request for this wave; the upkeep is done once the list shows the instance up again.
 */
export type UpkeepState = 'pending' | 'draining' | 'requested' | 'unconfirmed' | 'down' | 'done';

export type Upkeep = {
	readonly instance: string;
	state: UpkeepState;
	changedAt: number;
	/** Local time from which a request that was not answered, or whose answer is unknown, is repeated. */
	retryAt: number;
	/** Local time of acceptance; a list requested later that shows the instance up proves that the upkeep is over. */
	acceptedAt: number;
	/** A request of this owner for this wave was not answered, so the upkeep may have begun. */
	mayHaveBegun: boolean;
};

/** A move of an instance to another pool. */
export type Move = {
	readonly instance: string;
	readonly pool: string;
	/** Incarnation that ran on the instance when the move was first requested, and that the move ends. */
	readonly incarnation: Incarnation | undefined;
	state: 'requested' | 'moving';
	requestedAt: number;
	acceptedAt: number;
};

/** Drain of the worker on an instance, so that the instance can move to another pool. */
export type Drain = {
	readonly instance: string;
	/** Pool that the instance will move to. */
	readonly pool: string;
	readonly startedAt: number;
};

export type Wave = {
	readonly request: WaveRequest;
	readonly requestedAt: number;
	readonly upkeeps: Map<string, Upkeep>;
	completed: boolean;
	published: 'none' | 'running' | 'completed';
};
