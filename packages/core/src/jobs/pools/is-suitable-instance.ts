import {fitsInto} from '../placement/fits-into.js';
import {getReservedResources} from '../placement/get-reserved-resources.js';
import {type ListedInstance} from '../state/instance.js';
import {type Step} from '../state/job-schema.js';

/**
 * Tells whether a worker on an instance could run a task of a step.
 *
 * @param instance - the instance; one whose labels are not listed may have any
 * @param step - the step
 * @returns false if the instance lacks the label that the step requires, or is too small
 * @example
 * isSuitableInstance(instance, {...step, requirement: 'a'});
 */
export function isSuitableInstance({labels, capacity}: ListedInstance, step: Step): boolean {
	return (step.requirement === '' || labels === undefined || labels.includes(step.requirement)) && fitsInto(getReservedResources(step), capacity);
}
