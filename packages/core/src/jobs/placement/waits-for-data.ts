import {estimateDuration} from '../estimates/estimate-duration.js';
import {estimateFarRatio} from '../estimates/estimate-far-ratio.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {
	type ActiveJob, type StepState, type TaskGroup, type Worker,
} from '../state/scheduler.js';
import {claimRack} from './claim-rack.js';
import {type DataWait} from './data-wait.js';
import {forecastRack} from './forecast-rack.js';
import {type RackForecast, type RackForecasts} from './rack-forecast.js';

/** Longest total wait of a job for capacity near its data, in milliseconds. A job must start within 3 s while there is capacity for it. */
const maximumWaitMs = 1500;

/** The same while nothing of the job runs, in milliseconds: capacity elsewhere must not stay unused for longer. */
const maximumIdleWaitMs = 1000;

const noWait: DataWait = {startedAt: undefined, waitedMs: 0, loggedMs: 0};

/**
 * Decides whether tasks that would run far from their data wait for capacity near it. They wait only while the expected
 * wait is shorter than the additional run time far from the data, and than the time that the job has left until its objective.
 *
 * @param context - the reducer context
 * @param group - the task group
 * @param options - its step, workers of its service, those chosen for its tasks, and the forecasts of this round, which are changed
 * @returns true if the group waits
 * @example
 * waitsForData(context, group, {step, workers, chosen, forecasts});
 */
export function waitsForData(context: ReducerContext, group: TaskGroup, options: {step: StepState; workers: readonly Worker[]; chosen: readonly Worker[]; forecasts: RackForecasts}): boolean {
	const {scheduler, now} = context;
	const {step, workers, chosen, forecasts} = options;
	const {job, definition} = group;
	const {affinity, sameRack, longRunning, fills} = definition;
	if ((affinity === '' && !sameRack) || longRunning || fills || step.tickets !== undefined) {
		return false;
	}

	const additionalMs = (estimateFarRatio(scheduler.estimates) - 1) * estimateDuration(scheduler, job, group.step);
	const racks = additionalMs > 0 ? listNearRacks(group, step, {workers, chosen}) : [];
	for (const rack of racks) {
		const latestAt = now + Math.min(additionalMs, measureAllowance(job, now), measureSlack(job, now));
		const forecast = getForecast(context, rack, {service: job.outlook?.service ?? '', workers, forecasts});
		if (latestAt > now && claimRack(scheduler, group, {step, forecast, latestAt})) {
			forecasts.lastWait = {step, chosen};
			return true;
		}
	}

	return false;
}

/** Racks of which each has all tasks near their data, or near each other; none if the chosen workers do as well, or if the step is on several racks already. */
function listNearRacks(group: TaskGroup, step: StepState, {workers, chosen}: {workers: readonly Worker[]; chosen: readonly Worker[]}): Set<string> {
	const {affinity, sameRack} = group.definition;
	const chosenRacks = listRacks(chosen);
	if (!sameRack) {
		chosenRacks.delete(affinity);
		return new Set(chosenRacks.size === 0 ? [] : [affinity]);
	}

	const present = listRacks(step.groups.flatMap(({tasks}) => tasks.map(({worker}) => worker)));
	if (present.size > 1 || new Set([...present, ...chosenRacks]).size < 2) {
		return new Set();
	}

	return present.size === 1 ? present : listRacks(workers);
}

function listRacks(workers: ReadonlyArray<Worker | undefined>): Set<string> {
	const racks = new Set<string>();
	for (const worker of workers) {
		if (worker?.listing !== undefined) {
			racks.add(worker.listing.rack);
		}
	}

	return racks;
}

/** Time in milliseconds for which the job may still wait. */
function measureAllowance(job: ActiveJob, now: number): number {
	const {startedAt, waitedMs} = job.dataWait ?? noWait;
	return (hasRunningTask(job) ? maximumWaitMs : maximumIdleWaitMs) - waitedMs - (startedAt === undefined ? 0 : now - startedAt);
}

function hasRunningTask({occurrences}: ActiveJob): boolean {
	for (const steps of occurrences.values()) {
		for (const {groups} of steps) {
			if (groups.some(({tasks}) => tasks.some(({worker}) => worker !== undefined))) {
				return true;
			}
		}
	}

	return false;
}

/** Time in milliseconds that is left until the objective beyond the remaining run time near the data. Counts from the acceptance of the job, also after a takeover. */
function measureSlack({outlook}: ActiveJob, now: number): number {
	return outlook === undefined ? 0 : outlook.dueAt + outlook.objectiveMs - outlook.remainingMs - now;
}

function getForecast({scheduler, now}: ReducerContext, rack: string, options: {service: string; workers: readonly Worker[]; forecasts: RackForecasts}): RackForecast {
	const {service, workers, forecasts} = options;
	const key = `${service} ${rack}`;
	const known = forecasts.byRack.get(key);
	if (known !== undefined) {
		return known;
	}

	const forecast = forecastRack(scheduler, rack, {workers, now});
	forecasts.byRack.set(key, forecast);
	return forecast;
}
