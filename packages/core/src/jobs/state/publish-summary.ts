import {updateAdmission} from '../admission/update-admission.js';
import {logPoolLoads} from '../pools/log-pool-loads.js';
import {summaryIntervalMs} from './constants.js';
import {type QueueSummary} from './effect.js';
import {type ReducerContext} from './reducer-context.js';

/**
 * Publishes the number of jobs of each queue that have not started, at intervals, and the admission record if it changes.
 *
 * @param context - the reducer context; its state is changed and an effect may be added
 * @example
 * publishSummary(context);
 */
export function publishSummary(context: ReducerContext): void {
	const {scheduler, now} = context;
	if (now < scheduler.summaryDueAt) {
		return;
	}

	scheduler.summaryDueAt = now + summaryIntervalMs;
	const queues: Record<string, QueueSummary> = {};
	for (const {definition, started, cancelled, end} of scheduler.jobs.values()) {
		if (!started && !cancelled && end === undefined) {
			queues[definition.queue] = {waiting: (queues[definition.queue]?.waiting ?? 0) + 1};
		}
	}

	context.effects.push({type: 'publish-summary', queues, admission: updateAdmission(context)});
	logPoolLoads(context);
}
