import {type SchedulerEffect} from './effect.js';
import {type Moment} from './event.js';
import {type Scheduler} from './scheduler.js';

/** Context of one call of the reducer: the state that it changes, the time, and the effects that it produces. */
export type ReducerContext = Moment & {
	readonly scheduler: Scheduler;
	readonly effects: SchedulerEffect[];
};
