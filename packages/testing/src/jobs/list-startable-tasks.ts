import {type Configuration, type Resources} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type Job, type Step} from '@rosemaryquay/core/jobs/state/job-schema';
import {type FleetModel} from './fleet-model.js';
import {type WorkerModel} from './worker-model.js';

/** Part of an upper limit, and of a service's cores, below which a task that waits could run. */
const spaciousFraction = 0.5;

/** A task can run if its worker could run it and one like it. */
const capacityMultiple = 2;

type Usage = {readonly byWorker: Map<string, Resources>; readonly byOrganisation: Map<string, Resources>; readonly running: Set<string>};

const nothing: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/**
 * Lists the tasks that could run now and don't: no task of their job runs (for long-running ones: they themselves do not),
 * their turn has come, there is capacity for two such tasks, and less than half of their organisation's upper limit and of
 * their service's cores is in use. It shares no code with the scheduler.
 *
 * @param fleet - the fleet; what runs is read from its workers
 * @param configuration - the configuration in force
 * @param isUsable - tells whether a worker has been up and reachable for long enough to be used
 * @returns the ids of the tasks; one for each job, and each long-running one
 * @example
 * listStartableTasks(fleet, configuration, worker => worker.isAlive);
 */
export function listStartableTasks(fleet: FleetModel, configuration: Configuration, isUsable: (worker: WorkerModel) => boolean): string[] {
	const usage = measureUsage(fleet);
	const startable: string[] = [];
	for (const {job, end, isCancelled} of fleet.storedJobs.values()) {
		if (end !== undefined || isCancelled) {
			continue;
		}

		const isRunning = [...usage.running].some(task => task.startsWith(`${job.id}.`));
		for (const [position, step] of job.steps.entries()) {
			const waiting = isDone(fleet, job, position) ? [] : listTasks(job, position).filter(task => !fleet.checker.isDone(task) && !usage.running.has(task));
			const isTurn = step.after.every(earlier => isDone(fleet, job, earlier));
			if (waiting.length === 0 || !isTurn || (isRunning && !step.longRunning) || !hasRoom(fleet, job, {
				step, position, configuration, usage, isUsable,
			})) {
				continue;
			}

			startable.push(...(step.longRunning ? waiting : waiting.slice(0, 1)));
		}
	}

	return startable;
}

function listTasks({id, steps}: Job, position: number): string[] {
	return Array.from({length: steps[position]?.count ?? 0}, (_, index) => `${id}.0.${position}.${index}`);
}

/** One end of a member stands for the whole gang. */
function isDone(fleet: FleetModel, job: Job, position: number): boolean {
	const tasks = listTasks(job, position);
	return job.steps[position]?.gang ? tasks.some(task => fleet.checker.isDone(task)) : tasks.every(task => fleet.checker.isDone(task));
}

function measureUsage(fleet: FleetModel): Usage {
	const byWorker = new Map<string, Resources>();
	const byOrganisation = new Map<string, Resources>();
	const running = new Set<string>();
	for (const [id, worker] of fleet.workers) {
		for (const task of worker.running) {
			const [jobId = '', , position] = task.split('.');
			const job = fleet.storedJobs.get(jobId)?.job;
			const step = job?.steps[Number(position)];
			if (job === undefined || step === undefined) {
				continue;
			}

			running.add(task);
			byWorker.set(id, add(byWorker.get(id) ?? nothing, step));
			byOrganisation.set(job.organisation, add(byOrganisation.get(job.organisation) ?? nothing, step));
		}
	}

	return {byWorker, byOrganisation, running};
}

function add(sum: Resources, {cpuMillis, memoryMb, accelerators}: Resources): Resources {
	return {cpuMillis: sum.cpuMillis + cpuMillis, memoryMb: sum.memoryMb + memoryMb, accelerators: sum.accelerators + accelerators};
}

function hasRoom(fleet: FleetModel, job: Job, options: {step: Step; position: number; configuration: Configuration; usage: Usage; isUsable: (worker: WorkerModel) => boolean}): boolean {
	const {step, position, configuration, usage, isUsable} = options;
	const service = configuration.queues.find(({name}) => name === job.queue)?.service ?? job.service;
	const limit = configuration.organisations.find(({name}) => name === job.organisation)?.limit ?? nothing;
	const used = usage.byOrganisation.get(job.organisation) ?? nothing;
	// An upper limit may be exceeded by one task, and not by a gang.
	const members = step.gang ? step.count : 0;
	if (!isFarBelow(used.cpuMillis, limit.cpuMillis) || !isFarBelow(used.memoryMb, limit.memoryMb) || (limit.cpuMillis > 0 && used.cpuMillis + (members * step.cpuMillis) > limit.cpuMillis)) {
		return false;
	}

	let capacity = 0;
	let serviceUsage = 0;
	let places = 0;
	for (const worker of fleet.workers.values()) {
		const {id, service: offered, labels, capacity: whole, leaving} = worker.listing;
		if (offered !== service || leaving || !isUsable(worker)) {
			continue;
		}

		const taken = usage.byWorker.get(id) ?? nothing;
		capacity += whole.cpuMillis;
		serviceUsage += taken.cpuMillis;
		const siblings = worker.running.filter(task => task.startsWith(`${job.id}.0.${position}.`)).length;
		if (step.requirement !== '' && !labels.includes(step.requirement)) {
			continue;
		}

		const fitting = Math.min(countFitting(whole.cpuMillis - taken.cpuMillis, step.cpuMillis), countFitting(whole.memoryMb - taken.memoryMb, step.memoryMb), countFitting(whole.accelerators - taken.accelerators, step.accelerators));
		places += step.antiAffinity > 0 ? Math.min(fitting, Math.max(0, step.antiAffinity - siblings)) : fitting;
	}

	return serviceUsage < capacity * spaciousFraction && places >= capacityMultiple * (step.gang ? step.count : 1);
}

function countFitting(free: number, need: number): number {
	return need === 0 ? Number.POSITIVE_INFINITY : Math.max(0, Math.floor(free / need));
}

function isFarBelow(used: number, limit: number): boolean {
	return limit === 0 || used < limit * spaciousFraction;
}
