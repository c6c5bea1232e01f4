import {estimateFarRatio} from '../estimates/estimate-far-ratio.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type ActiveJob} from '../state/scheduler.js';

/**
 * Begins or ends the wait of a job for capacity near its data, and logs its total once all ready tasks are placed.
 *
 * @param context - the reducer context; an effect may be added
 * @param job - the job; changed
 * @param options - whether tasks of it wait for capacity near their data, and whether others do not fit anywhere
 * @example
 * updateDataWait(context, job, {isWaiting: true, isUnplaced: false});
 */
export function updateDataWait({scheduler, now, effects}: ReducerContext, job: ActiveJob, {isWaiting, isUnplaced}: {isWaiting: boolean; isUnplaced: boolean}): void {
	if (isWaiting) {
		job.dataWait ??= {startedAt: now, waitedMs: 0, loggedMs: 0};
		job.dataWait.startedAt ??= now;
		return;
	}

	const {dataWait} = job;
	if (dataWait === undefined) {
		return;
	}

	if (dataWait.startedAt !== undefined) {
		dataWait.waitedMs += now - dataWait.startedAt;
		dataWait.startedAt = undefined;
	}

	if (isUnplaced || dataWait.waitedMs === dataWait.loggedMs) {
		return;
	}

	const waitMs = dataWait.waitedMs - dataWait.loggedMs;
	dataWait.loggedMs = dataWait.waitedMs;
	effects.push({
		type: 'log', level: 'info', event: 'data-wait-ended', fields: {
			job: job.definition.id, waitMs: Math.round(waitMs), totalMs: Math.round(dataWait.waitedMs), ratio: Math.round(estimateFarRatio(scheduler.estimates) * 100) / 100,
		},
	});
}
