import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {createEstimates} from '@rosemaryquay/core/jobs/estimates/create-estimates';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {drawFraction} from './draw-fraction.js';
import {FleetModel} from './fleet-model.js';

/** Factor by which the estimate of a job is off at most, in either direction. */
const estimateError = 2.5;

const stretch = 1.6;
const targetLatencyMs = 600;

/** How many times as long as the others some tasks take. */
const slowMultiple = 7;

export type RoughLoad = {
	readonly seed: number;
	readonly isLearning: boolean;
	/** Standard deviation of the true run times of jobs of the queue, in log space. */
	readonly jobSpread?: number;
	/** Fraction of the tasks that take several times as long as the others. */
	readonly slowFraction?: number;
	/** Callers know the run times, which bounds what learning can achieve. */
	readonly isExact?: boolean;
};

/** True run time of the tasks of a step, without the differences between them. */
function getTrueMs(id: string, step: number, {seed, jobSpread = 0.3}: RoughLoad): number {
	const spread = ((drawFraction(`${seed} ${id} ${step} job`) + drawFraction(`${seed} ${id} ${step} job2`) + drawFraction(`${seed} ${id} ${step} job3`)) - 1.5) * 2;
	return 1000 * Math.exp(jobSpread * spread);
}

/** Difference of a task from the other tasks of its step: up to 30 %, and a few take several times as long. */
function getTaskFactor(task: string, {seed, slowFraction = 0.03}: RoughLoad): number {
	return (0.8 + (0.4 * drawFraction(`${seed} ${task}`))) * (drawFraction(`${seed} ${task} slow`) < slowFraction ? slowMultiple : 1);
}

/**
 * Simulates a pool under bursts of about twice its capacity, with jobs whose estimates are off by a factor of up to 2.5.
 *
 * @param load - the seed, whether the owner learns, and the spread of the jobs
 * @returns the fleet, the number of jobs, and the jobs that ended within their objective
 * @example
 * simulateRoughEstimates({seed: 1, isLearning: true});
 */
export function simulateRoughEstimates(load: RoughLoad): {fleet: FleetModel; submitted: number; onTime: number} {
	const {seed, isLearning, isExact = false} = load;
	const fleet = new FleetModel({
		seed, configuration: createConfiguration(), workers: createWorkers(4),
		getBehaviour: (task, job) => ({durationMs: getTrueMs(job.id, Number(task.split('.')[2]), load) * getTaskFactor(task, load)}),
	});
	fleet.takeOver();
	if (!isLearning && fleet.owner !== undefined) {
		Object.assign(fleet.owner.scheduler.estimates, createEstimates({maximumSketches: 0}));
	}

	const jobs: Array<{job: Job; objectiveMs: number}> = [];
	for (let at = 1000; at < 41_000;) {
		const isBurst = at % 10_000 > 4000;
		at += isBurst ? fleet.draw(75, 225) : fleet.draw(450, 1350);
		const id = `j${jobs.length}`;
		const factor = isExact ? 1 : estimateError ** ((2 * drawFraction(`${seed} ${id} estimate`)) - 1);
		const count = fleet.draw(1, 5) <= 3 ? 2 : 1;
		const trueMs = Array.from({length: count}, (_, step) => getTrueMs(id, step, load));
		const job = createJob(id, {
			acceptedAtMs: at, stretch, targetLatencyMs,
			steps: trueMs.map((ms, step) => ({
				count: fleet.draw(4, 12), cpuMillis: 1500, estimatedMs: ms * factor, after: step === 0 ? [] : [step - 1],
			})),
		});
		jobs.push({job, objectiveMs: (stretch * trueMs.reduce((sum, ms) => sum + ms, 0)) + targetLatencyMs});
		fleet.at(at, () => {
			fleet.submit(job);
		});
	}

	fleet.runUntil(120_000);
	const onTime = jobs.filter(({job, objectiveMs}) => (fleet.storedJobs.get(job.id)?.end?.endedAtMs ?? Number.POSITIVE_INFINITY) <= job.acceptedAtMs + objectiveMs).length;
	return {fleet, submitted: jobs.length, onTime};
}
