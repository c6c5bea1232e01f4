import {type Resources} from './configuration-schema.js';

export type InstanceState = 'up' | 'moving' | 'upkeep' | 'down';

/** An instance as the platform lists it. */
export type ListedInstance = {
	readonly id: string;
	readonly pool: string;
	readonly state: InstanceState;
	readonly availabilityZone: string;
	readonly capacity: Resources;
	/** Worker that runs on the instance; empty while none does. */
	readonly worker: string;
};

/** A request by the operators to reboot some instances within a time. */
export type RequestedWave = {
	readonly number: number;
	readonly instances: readonly string[];
	readonly durationMs: number;
	/** Instances of the wave that may be down at the same time. */
	readonly maximumDown: number;
};

/** An unclear one was refused because its instance is not up, which an earlier order without an answer may have caused. */
export type UpkeepState = 'waiting' | 'emptying' | 'asking' | 'unclear' | 'down' | 'done';

export type Upkeep = {
	readonly instance: string;
	state: UpkeepState;
	changedAt: number;
	/** Local time from which a listing as up proves the end of the upkeep. */
	acceptedAt: number;
};

/** An instance on its way to another pool. */
export type Move = {
	readonly instance: string;
	readonly pool: string;
	state: 'asking' | 'moving';
	askedAt: number;
	acceptedAt: number;
};

export type Wave = {
	readonly request: RequestedWave;
	readonly requestedAt: number;
	readonly upkeeps: Map<string, Upkeep>;
	completed: boolean;
	published: 'none' | 'running' | 'completed';
};
