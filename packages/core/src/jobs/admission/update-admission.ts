import {type ReducerContext} from '../state/reducer-context.js';
import {type AdmissionRecord} from './admission-record.js';
import {measureAdmission} from './measure-admission.js';

/**
 * Chooses the admission record that is to be written with the summary of the queues. While a queue is overloaded it is
 * written each time, so that entry instances know that it is in force. An empty record is written once.
 *
 * @param context - the reducer context; its state is changed
 * @returns the record to write; undefined if the stored one stays as it is
 * @example
 * updateAdmission(context)?.queues;
 */
export function updateAdmission(context: ReducerContext): AdmissionRecord | undefined {
	const {scheduler: {admission, term}, timeOfDay} = context;
	// Two writes at the same time could be carried out in either order.
	if (admission.isPending) {
		return undefined;
	}

	const queues = measureAdmission(context);
	if (queues.length === 0 && admission.isStoredEmpty) {
		return undefined;
	}

	admission.isPending = true;
	admission.isStoredEmpty = false;
	return {publishedAtMs: timeOfDay, term, queues};
}
