import {listSchedulableWorkers} from '@rosemaryquay/core/jobs/placement/list-schedulable-workers';
import {listUnreconciledServices} from '@rosemaryquay/core/jobs/placement/list-unreconciled-services';
import {explainWait} from '@rosemaryquay/core/jobs/placement/explain-wait';
import {type Step} from '@rosemaryquay/core/jobs/state/job-schema';
import {type FleetModel} from './fleet-model.js';
import {type WorkerModel} from './worker-model.js';

/** Interval between two observations in milliseconds. */
const intervalMs = 100;

/** A long-running task has to run again 6 s after its last run, and is late when it could have run for 3 s after that. */
const restMs = 6000;
const startWithinMs = 3000;

/** The 3 s in which a task could have run, and the 4 s before them, have to be calm. */
const calmMs = 7000;

/** Time after which a worker that has started, or can be reached again, counts, in milliseconds. */
const settlingMs = 1000;

/** A worker has room for a task if it could run it twice. */
const roomMultiple = 2;

/** A long-running task that could have run for too long, and why it did not. */
export type LateLastingTask = {readonly task: string; readonly lastRunAt: number; readonly reportedAt: number; readonly reason: string};

/**
 * Observes which long-running tasks don't run again in time. What runs and what has room is read from the workers.
 *
 * @param fleet - the fleet
 * @param options - times of all faults, time from which tasks are observed, and end of the observation, in milliseconds
 * @returns the tasks that did not run again in time, each once; filled while the fleet runs
 * @example
 * const late = observeLateLastingTasks(fleet, {faults: [12_000], from: 0, until: 50_000});
 */
export function observeLateLastingTasks(fleet: FleetModel, options: {faults: readonly number[]; from: number; until: number}): LateLastingTask[] {
	const {faults, from, until} = options;
	const late: LateLastingTask[] = [];
	const lastRunAt = new Map<string, number>();
	const startableSince = new Map<string, number>();
	const usableSince = new Map<WorkerModel, number>();
	const observe = (): void => {
		const usable = listUsableWorkers(fleet, usableSince);
		const lastFaultAt = Math.max(...faults.filter(at => at <= fleet.now), Number.NEGATIVE_INFINITY);
		for (const {task, step, acceptedAtMs} of listLastingTasks(fleet)) {
			if (fleet.checker.isRunning(task)) {
				lastRunAt.set(task, fleet.now);
			}

			const lastRun = lastRunAt.get(task) ?? acceptedAtMs;
			if (lastRun === fleet.now || !usable.some(worker => hasRoom(fleet, worker, step))) {
				startableSince.delete(task);
				continue;
			}

			const since = startableSince.get(task) ?? fleet.now;
			startableSince.set(task, since);
			if (fleet.now - since >= startWithinMs && fleet.now - lastRun >= restMs + startWithinMs && fleet.now - lastFaultAt >= calmMs && !late.some(other => other.task === task)) {
				late.push({
					task, lastRunAt: lastRun, reportedAt: fleet.now, reason: explain(fleet, task),
				});
			}
		}

		if (fleet.now + intervalMs <= until) {
			fleet.at(fleet.now + intervalMs, observe);
		}
	};

	fleet.at(from, observe);
	return late;
}

function listUsableWorkers(fleet: FleetModel, usableSince: Map<WorkerModel, number>): WorkerModel[] {
	const usable: WorkerModel[] = [];
	for (const [id, worker] of fleet.workers) {
		if (!worker.isAlive || worker.listing.leaving || fleet.silentWorkers.has(id)) {
			usableSince.delete(worker);
			continue;
		}

		const since = usableSince.get(worker) ?? fleet.now;
		usableSince.set(worker, since);
		if (fleet.now - since >= settlingMs) {
			usable.push(worker);
		}
	}

	return usable;
}

function listLastingTasks(fleet: FleetModel): Array<{task: string; step: Step; acceptedAtMs: number}> {
	const tasks: Array<{task: string; step: Step; acceptedAtMs: number}> = [];
	for (const {job, end, isCancelled} of fleet.storedJobs.values()) {
		for (const [position, step] of end === undefined && !isCancelled ? job.steps.entries() : []) {
			for (let index = 0; step.longRunning && index < step.count; index++) {
				tasks.push({task: `${job.id}.0.${position}.${index}`, step, acceptedAtMs: job.acceptedAtMs});
			}
		}
	}

	return tasks;
}

function hasRoom(fleet: FleetModel, worker: WorkerModel, {cpuMillis, memoryMb}: Step): boolean {
	const free = {...worker.listing.capacity};
	for (const task of worker.running) {
		const [job = '', , position] = task.split('.');
		const step = fleet.storedJobs.get(job)?.job.steps[Number(position)];
		free.cpuMillis -= step?.cpuMillis ?? 0;
		free.memoryMb -= step?.memoryMb ?? 0;
	}

	return free.cpuMillis >= roomMultiple * cpuMillis && free.memoryMb >= roomMultiple * memoryMb;
}

/** Tells what the owner waits for, in its own words. */
function explain(fleet: FleetModel, task: string): string {
	const scheduler = fleet.owner?.scheduler;
	const state = scheduler?.tasks.get(task);
	if (scheduler === undefined || state === undefined) {
		return 'unknown to the owner';
	}

	if (state.worker !== undefined) {
		return `assigned to ${state.worker.id}`;
	}

	const {group} = state;
	const step = group.job.occurrences.get(0)?.find(({groups}) => groups.includes(group));
	return step === undefined
		? 'in no step'
		: explainWait(scheduler, group, {
			step, schedulable: listSchedulableWorkers(scheduler, fleet.now), unreconciledServices: listUnreconciledServices(scheduler, fleet.now), now: fleet.now,
		}).reason;
}
