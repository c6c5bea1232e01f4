import {type Resources} from '../state/configuration-schema.js';
import {type StepState, type Worker} from '../state/scheduler.js';

/** Change of the free resources of a worker at a local time. */
export type Change = {readonly at: number; readonly resources: Resources};

/** Expected changes of a worker by time, from the tasks that run there and those that wait for room there. */
export type WorkerForecast = {
	readonly changes: Change[];
	/** Local time from which there is room for a task with certain needs; undefined until it is computed for the present changes. */
	room: {readonly need: Resources; readonly at: number} | undefined;
};

export type RackForecast = ReadonlyMap<Worker, WorkerForecast>;

/** What is known in one round of placement of tasks that wait for capacity near their data. */
export type RackForecasts = {
	/** By service and rack; made when the first task waits for the rack. */
	readonly byRack: Map<string, RackForecast>;
	/** Step of the last task that waits, and the worker far from its data; the tasks of a step are identical, so it is not chosen again for each of them. */
	lastWait: {readonly step: StepState; readonly chosen: readonly Worker[]} | undefined;
};
