import {type Resources} from '../state/configuration-schema.js';
import {type TaskGroup} from '../state/scheduler.js';
import {addResources} from './add-resources.js';
import {getReservedResources} from './get-reserved-resources.js';

/**
 * Gets the resources that all tasks of a group reserve together.
 *
 * @param group - the task group
 * @returns the resources
 * @example
 * isWithinLimit(scheduler, group.job, getTotalResources(group));
 */
export function getTotalResources({definition, tasks}: TaskGroup): Resources {
	return addResources({cpuMillis: 0, memoryMb: 0, accelerators: 0}, getReservedResources(definition), tasks.length);
}
