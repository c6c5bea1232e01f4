import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {drawFraction} from './draw-fraction.js';
import {FleetModel} from './fleet-model.js';

const stretch = 1.6;
const targetLatencyMs = 600;
const cpuMillis = 1500;

/** Workers, four to a rack, with 10 tasks each. */
const workerCount = 16;
const workersPerRack = 4;

export type HotRackLoad = {
	readonly seed: number;
	/** True ratio of far to near run time. */
	readonly trueRatio?: number;
	/** Ratio in the settings; with 1, no task waits for its data. */
	readonly settingRatio?: number;
	/** Fraction of the jobs whose data is on the hot rack; the data of the others is anywhere. */
	readonly hotFraction?: number;
	/** Time at which the workers of the hot rack are lost; never by default. */
	readonly lostAt?: number;
	/** The workers of a lost rack leave the list, or only answer no more. */
	readonly loss?: 'unlisted' | 'silent';
	/** Time at which another owner takes over; never by default. */
	readonly takeoverAt?: number;
	/** Mean interval between two jobs in a burst, in milliseconds. */
	readonly burstIntervalMs?: number;
};

export type HotRackOutcome = {
	readonly fleet: FleetModel;
	readonly jobs: ReadonlyArray<{readonly job: Job; readonly trueMs: number; readonly objectiveMs: number}>;
	readonly timely: number;
	readonly late: number;
	readonly useless: number;
	/** Jobs on the hot rack within their objective. */
	readonly hotTimely: number;
	/** Run time of the started runs by their cores. */
	readonly coreSeconds: number;
	readonly farRuns: number;
};

/**
 * Simulates a pool under bursts in which a part of the jobs need the rack of their data.
 *
 * @param load - the seed, the ratios and the faults
 * @returns the fleet, and what callers got
 * @example
 * simulateHotRack({seed: 1, settingRatio: 1}).timely;
 */
export function simulateHotRack(load: HotRackLoad): HotRackOutcome {
	const {seed, trueRatio = 3, settingRatio = 3, hotFraction = 0.1, lostAt, loss = 'unlisted', takeoverAt, burstIntervalMs = 50} = load;
	const workers = createWorkers(workerCount).map((worker, position) => ({...worker, rack: `r${Math.floor(position / workersPerRack)}`}));
	const rackByWorker = new Map(workers.map(({id, rack}) => [id, rack]));
	let coreMs = 0;
	let farRuns = 0;
	const fleet = new FleetModel({
		seed, configuration: createConfiguration(), workers,
		getBehaviour(task, job, {worker}) {
			const step = Number(task.split('.')[2]);
			const affinity = job.steps[step]?.affinity ?? '';
			const isFar = affinity !== '' && rackByWorker.get(worker) !== affinity;
			const durationMs = getTrueMs(job.id, seed) * (0.85 + (0.3 * drawFraction(`${seed} ${task}`))) * (isFar ? trueRatio : 1);
			coreMs += durationMs * cpuMillis / 1000;
			farRuns += Number(isFar);
			return {durationMs};
		},
	});
	const takeOver = () => {
		fleet.takeOver();
		if (fleet.owner !== undefined) {
			fleet.owner.scheduler.estimates.farRatio = settingRatio;
		}
	};

	takeOver();
	const jobs: Array<{job: Job; trueMs: number; objectiveMs: number}> = [];
	for (let at = 1000; at < 16_000;) {
		at += Math.round((at % 10_000 > 5000 ? burstIntervalMs : 5 * burstIntervalMs) * (0.5 + drawFraction(`${seed} ${jobs.length} at`)));
		const id = `j${jobs.length}`;
		const drawn = drawFraction(`${seed} ${id} hot`);
		const trueMs = getTrueMs(id, seed);
		const job = createJob(id, {
			acceptedAtMs: at, stretch, targetLatencyMs,
			steps: [{
				count: 4 + Math.floor(9 * drawFraction(`${seed} ${id} count`)), cpuMillis, estimatedMs: trueMs * (2.5 ** ((2 * drawFraction(`${seed} ${id} estimate`)) - 1)), affinity: drawn < hotFraction ? 'r0' : '',
			}],
		});
		jobs.push({job, trueMs, objectiveMs: (stretch * trueMs) + targetLatencyMs});
		fleet.at(at, () => {
			fleet.submit(job);
		});
	}

	if (lostAt !== undefined) {
		fleet.at(lostAt, () => {
			for (const [id, rack] of rackByWorker) {
				if (rack !== 'r0') {
					continue;
				}

				if (loss === 'silent') {
					fleet.silentWorkers.add(id);
				} else {
					fleet.removeWorker(id);
				}
			}
		});
	}

	if (takeoverAt !== undefined) {
		fleet.at(takeoverAt, () => {
			fleet.killOwner();
			takeOver();
		});
	}

	fleet.runUntil(45_000);
	return {
		fleet, jobs, farRuns, coreSeconds: Math.round(coreMs / 1000), ...countJobs(fleet, jobs),
	};
}

function getTrueMs(id: string, seed: number): number {
	return 800 * (1.5 ** ((2 * drawFraction(`${seed} ${id} true`)) - 1));
}

function countJobs(fleet: FleetModel, jobs: HotRackOutcome['jobs']): {timely: number; late: number; useless: number; hotTimely: number} {
	const counts = {
		timely: 0, late: 0, useless: 0, hotTimely: 0,
	};
	for (const {job, objectiveMs} of jobs) {
		const latencyMs = (fleet.storedJobs.get(job.id)?.end?.endedAtMs ?? Number.POSITIVE_INFINITY) - job.acceptedAtMs;
		const isTimely = latencyMs <= objectiveMs;
		counts.timely += Number(isTimely);
		counts.hotTimely += Number(isTimely && job.steps[0]?.affinity === 'r0');
		counts.late += Number(!isTimely && latencyMs <= 3 * objectiveMs);
		counts.useless += Number(latencyMs > 3 * objectiveMs);
	}

	return counts;
}
