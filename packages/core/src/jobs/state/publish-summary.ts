import {updateAdmission} from '../admission/update-admission.js';
import {logPoolLoads} from '../pools/log-pool-loads.js';
import {encodeView} from '../views/encode-view.js';
import {logWaits} from '../views/log-waits.js';
import {measureView} from '../views/measure-view.js';
import {measureWaits} from '../views/measure-waits.js';
import {summaryIntervalMs} from './constants.js';
import {type QueueSummary} from './effect.js';
import {type ReducerContext} from './reducer-context.js';

/**
 * Publishes the number of jobs of each queue that have not started, at intervals, with the admission record and the view of
 * the schedule if these change. All are written in one store call.
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

	const waits = measureWaits(scheduler, now);
	const latest = measureView(scheduler, {
		queues, waits, now, timeOfDay: context.timeOfDay,
	});
	const view = encodeView(latest);
	context.effects.push({
		type: 'publish-summary', queues, admission: updateAdmission(context), ...(view !== scheduler.views.published && {view}),
	});
	scheduler.views.latest = latest;
	scheduler.views.published = view;
	logPoolLoads(context);
	logWaits(context, waits);
}
