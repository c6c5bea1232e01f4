import {type Planner} from './planner.js';
import {type InstanceRecord, type Versioned} from './records.js';

/**
 * Sets or removes the known record of an instance and keeps the index of unsettled instances.
 *
 * @param planner - the planner, updated in place
 * @param instance - identifier of the instance
 * @param record - the record, `undefined` to remove it
 * @example
 * setInstance(planner, 'web-1', {value, revision: 7});
 */
export function setInstance(planner: Planner, instance: string, record: Versioned<InstanceRecord> | undefined): void {
	if (record === undefined) {
		planner.instances.delete(instance);
		planner.unsettled.delete(instance);
		return;
	}

	planner.instances.set(instance, record);
	const {state, home, requested} = record.value;
	if (state !== 'in-service' || home !== undefined || requested !== undefined) {
		planner.unsettled.add(instance);
	} else {
		planner.unsettled.delete(instance);
	}
}
