import {type Scheduler, type Task} from '../state/scheduler.js';
import {farSketchName} from './far-sketch-name.js';
import {findPeerRunTime} from './find-peer-run-time.js';
import {learnSample} from './learn-sample.js';

/**
 * Learns the ratio of far to near run time from a run outside the rack of its data, compared with tasks of its step near
 * the data or with what was learned of other steps. Steps with `sameRack` are no samples: how far their tasks are from
 * each other changes while they run.
 *
 * @param scheduler - the state; changed
 * @param task - the task; still assigned
 * @param runTime - logarithm of its run time in milliseconds
 * @example
 * recordFarRun(scheduler, task, Math.log(1900));
 */
export function recordFarRun(scheduler: Scheduler, task: Task, runTime: number): void {
	const near = task.group.definition.sameRack ? undefined : findPeerRunTime(scheduler, task)?.expected;
	if (near !== undefined) {
		learnSample(scheduler.estimates, farSketchName, runTime - near);
	}
}
