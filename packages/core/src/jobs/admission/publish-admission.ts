import {type ReducerContext} from '../state/reducer-context.js';
import {measureAdmission} from './measure-admission.js';

/** Interval between two measurements; the record is withdrawn this long after the end of an overload at the latest. */
const measurementIntervalMs = 250;

/** Shortest time between two publications; each makes every entry instance repeat one transaction. */
const publicationIntervalMs = 1000;

/**
 * Publishes the admission record while a queue is overloaded, and withdraws it afterwards. A new owner withdraws the
 * record of the former one, unless it publishes its own.
 *
 * @param context - the reducer context; its state is changed and an effect may be added
 * @example
 * publishAdmission(context);
 */
export function publishAdmission(context: ReducerContext): void {
	const {scheduler: {admission}, now} = context;
	if (now < admission.dueAt || admission.isPending) {
		return;
	}

	admission.dueAt = now + measurementIntervalMs;
	const record = measureAdmission(context);
	const isDue = record === undefined ? admission.mayExist : now - admission.publishedAt >= publicationIntervalMs;
	if (!isDue) {
		return;
	}

	admission.isPending = true;
	admission.mayExist = true;
	admission.publishedAt = record === undefined ? admission.publishedAt : now;
	context.effects.push({type: 'publish-admission', record});
}
