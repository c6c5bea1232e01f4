import {type Resources} from '../state/configuration-schema.js';
import {type Step} from '../state/job-schema.js';

/**
 * Gets the resources that a task reserves on its worker. A best-effort task reserves no cores.
 *
 * @param step - the step of the task
 * @returns the resources
 * @example
 * getReservedResources({...step, cpuMillis: 500, fills: true}).cpuMillis; // 0
 */
export function getReservedResources(step: Step): Resources {
	return {cpuMillis: step.fills ? 0 : step.cpuMillis, memoryMb: step.memoryMb, accelerators: step.accelerators};
}
