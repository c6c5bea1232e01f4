import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {addJob} from '@rosemaryquay/core/jobs/state/add-job';
import {completeTaskGroup} from '@rosemaryquay/core/jobs/state/complete-task-group';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {createWorker} from '@rosemaryquay/core/jobs/state/create-worker';
import {isStepReady} from '@rosemaryquay/core/jobs/state/is-step-ready';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type ReducerContext} from '@rosemaryquay/core/jobs/state/reducer-context';
import {
	type ActiveJob, type ListedWorker, type Scheduler, type Task, type Worker,
} from '@rosemaryquay/core/jobs/state/scheduler';
import {assignTask} from '@rosemaryquay/core/jobs/runs/assign-task';
import {releaseTask} from '@rosemaryquay/core/jobs/runs/release-task';

/** Interval of placement, as that of the owner of the schedule. */
const tickMs = 40;

/** Tasks that do not fit before placement stops for this tick; the same number as in the scheduler. */
const maximumFailures = 12;

export type JobOrder = (scheduler: Scheduler, jobs: readonly ActiveJob[], now: number) => ActiveJob[];

/** A job with its true run times, which the scheduler does not know. */
export type SimulatedJob = {
	readonly job: Job;
	/** True run time of each task in milliseconds, by step. */
	readonly durationsMs: ReadonlyArray<readonly number[]>;
	readonly objectiveMs: number;
};

/**
 * Simulation of one pool on which tasks are placed in a given order; no orders are lost and no worker fails.
 */
export class OrderSimulation {
	readonly scheduler: Scheduler;
	/** Latency of each job that is done, in milliseconds. */
	readonly latencies = new Map<string, number>();
	now = 0;
	readonly #jobs: readonly SimulatedJob[];
	readonly #order: JobOrder;
	/** True run times of the tasks of each job, by step. */
	readonly #durations: ReadonlyMap<string, SimulatedJob['durationsMs']>;
	readonly #running = new Map<Task, number>();
	#submitted = 0;

	constructor(options: {configuration: Configuration; workers: readonly ListedWorker[]; jobs: readonly SimulatedJob[]; order: JobOrder}) {
		const {configuration, workers, jobs, order} = options;
		this.#order = order;
		this.#jobs = jobs.toSorted((left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs);
		this.#durations = new Map(jobs.map(({job, durationsMs}) => [job.id, durationsMs]));
		this.scheduler = createScheduler({term: 1, now: 0, configuration});
		for (const listing of workers) {
			const worker = createWorker({...listing, now: 0});
			worker.listing = listing;
			worker.acknowledgedOwner = true;
			worker.recordedAsHolder = true;
			this.scheduler.workers.set(worker.id, worker);
		}
	}

	runUntil(endMs: number): void {
		for (; this.now < endMs; this.now += tickMs) {
			const context: ReducerContext = {
				scheduler: this.scheduler, now: this.now, timeOfDay: this.now, effects: [],
			};
			this.#endTasks(context);
			for (; (this.#jobs[this.#submitted]?.job.acceptedAtMs ?? Number.POSITIVE_INFINITY) <= this.now; this.#submitted++) {
				addJob(context, this.#jobs[this.#submitted]!.job);
			}

			this.#place();
		}
	}

	#endTasks(context: ReducerContext): void {
		for (const [task, endsAt] of this.#running) {
			if (endsAt > this.now) {
				continue;
			}

			const {job} = task.group;
			this.#running.delete(task);
			releaseTask(context, task);
			completeTaskGroup(context, task.group);
			if (job.end !== undefined) {
				this.latencies.set(job.definition.id, this.now - job.acceptedAt);
				this.scheduler.jobs.delete(job.definition.id);
			}
		}
	}

	#place(): void {
		const waiting = [...this.scheduler.jobs.values()].filter(job => listReadyTasks(job).length > 0);
		const failures = new Map<string, number>();
		for (const job of this.#order(this.scheduler, waiting, this.now)) {
			const {service} = job.definition;
			if ((failures.get(service) ?? 0) >= maximumFailures) {
				continue;
			}

			for (const task of listReadyTasks(job)) {
				const worker = this.#findWorker(task);
				if (worker === undefined) {
					failures.set(service, (failures.get(service) ?? 0) + 1);
					break;
				}

				assignTask(this.scheduler, task, {worker, run: 1, state: 'running'});
				this.#running.set(task, this.now + this.#findDuration(task));
			}
		}
	}

	/** The worker with the least free capacity that has room for the task. */
	#findWorker({group}: Task): Worker | undefined {
		let best: {worker: Worker; free: number} | undefined;
		for (const worker of this.scheduler.workers.values()) {
			const free = (worker.listing?.capacity.cpuMillis ?? 0) - worker.used.cpuMillis;
			if (worker.listing?.service === group.job.definition.service && free >= group.definition.cpuMillis && (best === undefined || free < best.free)) {
				best = {worker, free};
			}
		}

		return best?.worker;
	}

	#findDuration({group, index}: Task): number {
		return this.#durations.get(group.job.definition.id)?.[group.step]?.[index] ?? 0;
	}
}

function listReadyTasks(job: ActiveJob): Task[] {
	const tasks: Task[] = [];
	for (const steps of job.occurrences.values()) {
		for (const step of steps) {
			if (isStepReady(steps, step)) {
				tasks.push(...step.groups.filter(({done}) => !done).flatMap(group => group.tasks.filter(({state}) => state === 'unassigned')));
			}
		}
	}

	return tasks;
}
