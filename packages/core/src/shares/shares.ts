/**
 * State of the waiting tasks in one node.
 */
import {type Task} from '../node/node.js';

/** Waiting tasks of one pool, by team in order of arrival. */
export type PoolQueue = {
	readonly byTeam: Map<string, Task[]>;
};

export type Shares = {
	readonly pools: Map<string, PoolQueue>;
};
