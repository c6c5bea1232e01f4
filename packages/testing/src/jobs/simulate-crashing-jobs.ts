import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {drawFraction} from './draw-fraction.js';
import {FleetModel} from './fleet-model.js';

/** What the callers of a simulated day got, and what it cost. */
export type CrashingDay = {
	readonly fleet: FleetModel;
	/** Sound jobs: all of them, and those completed within three times their objective. */
	readonly sound: number;
	readonly served: number;
	readonly timely: number;
	/** Sound jobs that the owner failed. */
	readonly wronglyFailed: readonly string[];
	/** Crashing jobs, and the mean time in milliseconds until they were shown as failed. */
	readonly crashing: number;
	readonly meanFailureMs: number;
	/** Workers that tasks crashed. */
	readonly crashes: number;
};

/** Faults besides crashing jobs. */
export type OwnershipFaults = 'takeovers' | 'none';

/** Workers of the simulated service: a size between the services of the page that takes seconds to simulate. */
const workerCount = 30;

/** Interval of the arrivals in milliseconds; with the sizes below, the mean use is about six tenths of the cores. */
const quickIntervalMs = 125;
const largeIntervalMs = 700;

/** Jobs arrive for this time, in milliseconds. */
const arrivalMs = 30_000;

/** Time in which a part of the quick jobs crashes the workers, in milliseconds from the start. */
const crashingFromMs = 4000;
const crashingUntilMs = 20_000;

/** Part of the quick jobs that crashes workers in that time. */
const crashingFraction = 0.15;

/** Images of the sound quick jobs and of the crashing ones. */
const soundImages = 6;
const crashingImages = 2;

/** Time until all jobs have ended, in milliseconds. */
const horizonMs = 75_000;

/** Time from the loss of an owner to the next one: the expiry of its lease on the schedule. */
const takeoverMs = 1000;

const createSteps = {
	quick: (image: string, count: number): Parameters<typeof createJob>[1] => ({
		steps: Array.from({length: count}, (_, step) => ({
			count: 8, cpuMillis: 1500, estimatedMs: 1000, image, after: step === 0 ? [] : [step - 1],
		})),
	}),
	large: (image: string, count: number): Parameters<typeof createJob>[1] => ({
		priority: 1,
		steps: Array.from({length: count}, (_, step) => ({
			count: 8, cpuMillis: 3300, estimatedMs: 2100, image, after: step === 0 ? [] : [step - 1],
		})),
	}),
};

/**
 * Simulates a day on which a part of the quick jobs crashes every worker that starts them, beside killed, frozen and cut
 * off owners and unreachable workers. Sound jobs arrive at the same times with and without crashing jobs.
 *
 * @param seed - seed of all random numbers
 * @param options - whether there are crashing jobs, faults of the ownership, and whether the jobs name images
 * @returns what the callers got
 * @example
 * simulateCrashingJobs(1, {hasCrashingJobs: false}).served;
 */
export function simulateCrashingJobs(seed: number, options: {hasCrashingJobs?: boolean; faults?: OwnershipFaults; hasImages?: boolean} = {}): CrashingDay {
	const {hasCrashingJobs = true, faults = 'takeovers', hasImages = true} = options;
	const fleet = new FleetModel({
		seed,
		configuration: createConfiguration(),
		workers: createWorkers(workerCount),
		getBehaviour: task => ({crashesWorker: task.startsWith('crashing'), durationMs: drawDuration(task, seed)}),
	});
	const accepted = new Map<string, {at: number; job: Job}>();
	fleet.takeOver();
	const submit = (at: number, job: Job): void => {
		fleet.at(at, () => {
			accepted.set(job.id, {at, job});
			fleet.submit(job);
		});
	};

	for (let count = 0; count * quickIntervalMs < arrivalMs; count++) {
		const at = 500 + (count * quickIntervalMs);
		const isCrashing = at >= crashingFromMs && at < crashingUntilMs && drawFraction(`${seed} crashing ${count}`) < crashingFraction;
		const steps = drawFraction(`${seed} steps ${count}`) < 0.6 ? 2 : 1;
		const image = isCrashing ? `broken${count % crashingImages}` : `plan${count % soundImages}`;
		if (!isCrashing || hasCrashingJobs) {
			submit(at, createJob(`${isCrashing ? 'crashing' : 'quick'}${count}`, createSteps.quick(hasImages ? image : '', steps)));
		}
	}

	for (let count = 0; count * largeIntervalMs < arrivalMs; count++) {
		submit(500 + (count * largeIntervalMs), createJob(`large${count}`, createSteps.large(hasImages ? `model${count % 2}` : '', 2)));
	}

	if (faults === 'takeovers') {
		injectFaults(fleet);
	}

	fleet.runUntil(horizonMs);
	return summarize(fleet, accepted);
}

/** Tasks of one step differ by a factor of up to 1.5 from each other. */
function drawDuration(task: string, seed: number): number {
	return (task.startsWith('large') ? 2100 : 1000) * (0.7 + (0.6 * drawFraction(`${seed} ${task}`)));
}

/** One owner is killed, one freezes for 4 s, one is cut off from the store for 5 s, and a tenth of the workers are cut off for 6 s. */
function injectFaults(fleet: FleetModel): void {
	fleet.at(7000, () => {
		fleet.killOwner();
	});
	fleet.at(7000 + takeoverMs, () => {
		fleet.takeOver();
	});
	fleet.at(11_000, () => {
		fleet.pauseOwner(4000);
	});
	fleet.at(11_000 + takeoverMs, () => {
		fleet.takeOver();
	});
	// The owner that is cut off from the store keeps its connections to the workers until they follow the next one.
	fleet.at(15_000 + takeoverMs, () => {
		fleet.takeOver();
	});
	fleet.at(13_000, () => {
		for (let worker = 1; worker <= workerCount / 10; worker++) {
			fleet.silentWorkers.add(`w${worker}`);
		}
	});
	fleet.at(19_000, () => {
		fleet.silentWorkers.clear();
	});
}

function summarize(fleet: FleetModel, accepted: ReadonlyMap<string, {at: number; job: Job}>): CrashingDay {
	const wronglyFailed: string[] = [];
	const failureTimes: number[] = [];
	let [sound, served, timely, crashing] = [0, 0, 0, 0];
	for (const [id, {at, job}] of accepted) {
		const end = fleet.storedJobs.get(id)?.end;
		const latency = (end?.endedAtMs ?? horizonMs) - at;
		if (id.startsWith('crashing')) {
			crashing++;
			failureTimes.push(latency);
			continue;
		}

		sound++;
		const criticalPathMs = job.steps.reduce((sum, {estimatedMs}) => sum + estimatedMs, 0);
		const objectiveMs = (criticalPathMs * job.stretch) + job.targetLatencyMs;
		if (end?.state === 'failed') {
			wronglyFailed.push(id);
		} else if (end !== undefined && latency <= 3 * objectiveMs) {
			served++;
			timely += latency <= objectiveMs ? 1 : 0;
		}
	}

	return {
		fleet,
		sound,
		served,
		timely,
		wronglyFailed,
		crashing,
		meanFailureMs: failureTimes.reduce((sum, time) => sum + time, 0) / Math.max(1, crashing),
		crashes: [...fleet.checker.crashCounts.values()].reduce((sum, count) => sum + count, 0),
	};
}
