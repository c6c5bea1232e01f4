import {type SchedulerEffect} from './effect.js';
import {type EventTime} from './event.js';
import {type Scheduler} from './scheduler.js';

/** Context of one call of the reducer: the state that it changes, the time, and the effects that it produces. */
export type ReducerContext = EventTime & {
	readonly scheduler: Scheduler;
	readonly effects: SchedulerEffect[];
};
