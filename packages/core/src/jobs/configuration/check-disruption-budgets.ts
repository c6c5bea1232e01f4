import {type Configuration, type Resources} from '../state/configuration-schema.js';
import {type WaveRequest} from '../state/instance.js';
import {type Job, type Step} from '../state/job-schema.js';
import {type ListedWorker} from '../state/scheduler.js';
import {type Finding} from './finding.js';

/** Shortest time for which a relocated task is away: its worker reports the stop, and another one reports the start, each over the network and at most 40 ms after the last decision. */
const shortestRelocationMs = 100;

type LongRunningStep = Step & {readonly job: string; readonly service: string};

/**
 * Finds disruption budgets (`mayMiss`) of unfinished long-running jobs that an open wave of upkeep can't respect: steps that
 * may miss no task at all, and steps of which more tasks have to leave the instances of a wave than can be relocated, a
 * budget at a time, within its duration. The tasks that have to leave are those that fit on no other worker even if these
 * ran nothing else, so every finding is certain.
 *
 * @param configuration - the configuration
 * @param surroundings - workers that the store lists, unfinished jobs, and waves that are not completed
 * @returns the findings, by queue
 * @example
 * checkDisruptionBudgets(configuration, {workers, jobs, waves});
 */
export function checkDisruptionBudgets({queues}: Configuration, {workers, jobs, waves}: {workers: readonly ListedWorker[]; jobs: readonly Job[]; waves: readonly WaveRequest[]}): Finding[] {
	const findings: Finding[] = [];
	for (const [position, {name, service}] of queues.entries()) {
		const offering = workers.filter(worker => worker.service === service);
		for (const step of listLongRunningSteps(jobs.filter(({queue}) => queue === name), service)) {
			for (const wave of waves) {
				const problem = judgeWave(step, {wave, workers: offering});
				if (problem !== undefined) {
					findings.push({level: 'warning', path: ['queues', position], problem: `queue ${JSON.stringify(name)}, job ${step.job}: ${problem}`});
				}
			}
		}
	}

	return findings;
}

function listLongRunningSteps(jobs: readonly Job[], service: string): LongRunningStep[] {
	return jobs.flatMap(({id, steps}) => steps.filter(({longRunning}) => longRunning).map(step => ({...step, job: id, service})));
}

/** Why a wave can't respect the budget of a step; undefined if it may. */
function judgeWave(step: LongRunningStep, {wave, workers}: {wave: WaveRequest; workers: readonly ListedWorker[]}): string | undefined {
	const {count, mayMiss} = step;
	const instances = new Set(wave.instances);
	const affected = workers.filter(({instance}) => instances.has(instance));
	const room = workers.filter(({instance, leaving}) => !instances.has(instance) && !leaving).reduce((sum, worker) => sum + countFitting(step, worker), 0);
	const leaving = affected.length === 0 ? 0 : Math.max(0, count - room);
	if (leaving === 0) {
		return undefined;
	}

	if (mayMiss === 0) {
		return `no task of a step of ${count} may be away (mayMiss 0), and at least ${leaving} run on instances of wave ${wave.number}; the wave takes one of them away at a time`;
	}

	const neededMs = Math.ceil(leaving / mayMiss) * shortestRelocationMs;
	return neededMs > wave.durationMs
		? `at least ${leaving} of ${count} tasks run on instances of wave ${wave.number}, and with ${mayMiss} away at a time (mayMiss) their relocation takes ${neededMs} ms or more of the ${wave.durationMs} ms of the wave`
		: undefined;
}

/** Number of tasks of a step that fit on a worker that runs nothing else. */
function countFitting({cpuMillis, memoryMb, accelerators, fills, requirement, antiAffinity}: Step, {capacity, labels}: ListedWorker): number {
	if (requirement !== '' && !labels.includes(requirement)) {
		return 0;
	}

	const need: Resources = {cpuMillis: fills ? 0 : cpuMillis, memoryMb, accelerators};
	let fitting = antiAffinity === 0 ? Number.POSITIVE_INFINITY : antiAffinity;
	for (const dimension of ['cpuMillis', 'memoryMb', 'accelerators'] as const) {
		if (need[dimension] > 0) {
			fitting = Math.min(fitting, Math.floor(capacity[dimension] / need[dimension]));
		}
	}

	return fitting;
}
