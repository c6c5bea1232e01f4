import {type Planner} from './planner.js';
import {type InstanceRecord, type Versioned} from './records.js';

/**
 * Sets or removes the known record of an instance and updates the index of instances to reconcile.
 *
 * @param planner - the planner, updated in place
 * @param instance - identifier of the instance
 * @param record - the record, `undefined` to remove it
 * @example
 * setInstanceRecord(planner, 'web-1', {value, revision: 7});
 */
export function setInstanceRecord(planner: Planner, instance: string, record: Versioned<InstanceRecord> | undefined): void {
	if (record === undefined) {
		planner.instances.delete(instance);
		planner.instancesToReconcile.delete(instance);
		return;
	}

	planner.instances.set(instance, record);
	const {state, home, requested} = record.value;
	if (state !== 'in-service' || home !== undefined || requested !== undefined) {
		planner.instancesToReconcile.add(instance);
	} else {
		planner.instancesToReconcile.delete(instance);
	}
}
