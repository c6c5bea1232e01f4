/**
 * State of the workers as one node sees them.
 */
import {type ListedInstance} from '../node/event.js';

export type Worker = {
	readonly instance: ListedInstance;
	/** Slots in use by tasks of this node. */
	running: number;
	/** Slots in use by all, from the worker's last report. */
	reported: number;
};

export type Placement = {
	readonly workers: Map<string, Worker>;
	/** Identifiers of the workers of each pool. */
	readonly byPool: Map<string, string[]>;
};
