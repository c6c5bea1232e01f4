import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createJob} from './create-fleet.js';
import {type SimulatedJob} from './order-simulation.js';

const stretch = 1.6;
const targetLatencyMs = 600;
/** One task in this many takes `stragglerFactor` times as long. */
const tasksPerStraggler = 33;
const stragglerFactor = 4;
const estimateErrorFactor = 2.5;

/** Mean of a queue's jobs. */
export type QueueLoad = {
	readonly jobsPerSecond: number;
	/** Mean number of steps, between 1 and 2. */
	readonly steps: number;
	/** Mean number of tasks in a step. */
	readonly tasks: number;
	readonly taskMs: number;
	readonly cpuMillis: number;
};

export type BurstOptions = {
	readonly seed: number;
	readonly load: QueueLoad;
	/** Multiple of the mean rate at a time. */
	readonly rate: (atMs: number) => number;
	readonly durationMs: number;
	/** Organisation of a job, by a drawn number from 0 to 9999. */
	readonly organisation?: (drawn: number) => string;
	/** Prefix of the ids. */
	readonly name?: string;
	/** The objective counts from the true critical path instead of the estimated one. */
	readonly hasTrueObjective?: boolean;
};

/**
 * Creates the jobs of a load whose rate varies, with estimates that are off by a factor of up to 2.5 in either direction.
 *
 * @param options - seed, means of the queue, rate over time and duration in milliseconds
 * @returns the jobs with their true run times
 * @example
 * createBurst({seed: 1, load, rate: at => at < 5000 ? 5 : 1, durationMs: 20_000});
 */
export function createBurst(options: BurstOptions): SimulatedJob[] {
	const {seed, load, rate, durationMs, organisation = () => 'north', name = 'j', hasTrueObjective = false} = options;
	const random = xoroshiro128plus(seed);
	/** Evenly distributed between 0 and 1. */
	const draw = (): number => uniformInt(random, 0, 9999) / 10_000;
	/** Between 1/factor and factor, evenly on a logarithmic scale. */
	const drawFactor = (factor: number): number => factor ** ((2 * draw()) - 1);
	const jobs: SimulatedJob[] = [];
	let at = 0;
	while (at < durationMs) {
		at += -Math.log(1 - draw()) * 1000 / (load.jobsPerSecond * Math.max(0.01, rate(at)));
		const stepCount = draw() < load.steps - 1 ? 2 : 1;
		const errorFactor = drawFactor(estimateErrorFactor);
		const durationsMs: number[][] = [];
		const steps = Array.from({length: stepCount}, (_, position) => {
			// The mean of a factor that is even on a logarithmic scale between 1/3 and 3 is 1.21.
			const count = Math.max(1, Math.round(load.tasks * drawFactor(3) / 1.21));
			const meanMs = load.taskMs * drawFactor(2) / 1.08;
			durationsMs.push(Array.from({length: count}, () => meanMs * drawFactor(1.3) * (uniformInt(random, 1, tasksPerStraggler) === 1 ? stragglerFactor : 1)));
			return {
				count, cpuMillis: load.cpuMillis, memoryMb: 64, estimatedMs: meanMs * errorFactor, after: position === 0 ? [] : [position - 1], trueMs: meanMs,
			};
		});
		const pathMs = steps.reduce((sum, {trueMs, estimatedMs}) => sum + (hasTrueObjective ? trueMs : estimatedMs), 0);
		jobs.push({
			job: createJob(`${name}${jobs.length}`, {
				acceptedAtMs: Math.round(at), organisation: organisation(uniformInt(random, 0, 9999)), steps: steps.map(({trueMs: _trueMs, ...step}) => step), stretch, targetLatencyMs,
			}),
			durationsMs,
			objectiveMs: (stretch * pathMs) + targetLatencyMs,
		});
	}

	return jobs;
}
