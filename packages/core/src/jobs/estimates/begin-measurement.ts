import {type Task} from '../state/scheduler.js';

/** Largest uncertainty of the start of a run that is measured; 5 % of the shortest common run times. */
const maximumUncertaintyMs = 50;

/**
 * Begins the measurement of a run whose start was just confirmed. A run is not measured if an order to start it was
 * repeated, if the confirmation took long, if it resumes from a checkpoint, or if its speed may be limited.
 *
 * @param task - the task; changed
 * @param now - local time in milliseconds
 * @example
 * beginMeasurement(task, now);
 */
export function beginMeasurement(task: Task, now: number): void {
	const {longRunning, fills} = task.group.definition;
	const uncertaintyMs = (now - task.lastOrderAt) / 2;
	if (longRunning || fills || task.startOrders !== 1 || task.group.checkpoint !== '' || uncertaintyMs > maximumUncertaintyMs) {
		return;
	}

	const startedAt = now - uncertaintyMs;
	task.measurement = {
		startedAt, anchorAt: startedAt, anchorPercent: 0, isSlow: false,
	};
}
