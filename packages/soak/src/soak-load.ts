import {setTimeout as delay} from 'node:timers/promises';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type CallerAnswer, CallerHttp, type CallerMethod} from '@rosemaryquay/testing/jobs/caller-http';
import {type SubmittedStep} from '@rosemaryquay/testing/jobs/fleet-event';
import {type EventLog} from './event-log.js';
import {type Organisation, organisations} from './soak-fleet.js';

/** Mean time between two jobs of each organisation, and by how much shorter it is while the organisation overloads the system. */
const intervals: Readonly<Record<Organisation, number>> = {north: 400, south: 400, east: 1500};
const overloadFactor = 8;

/** Most attempts to submit a job, each at another process, and the pause between them. Some callers give up after the first one. */
const mostAttempts = 4;
const retryMs = 500;

/** Interval at which a caller reads the state of its job; ended jobs can be read for at least 60 s. */
const readIntervalMs = 700;

/** Share of jobs in percent that are cancelled, and of those whose steps allow duplicate runs. */
const cancelledPercent = 5;
const duplicatesPercent = 30;

/** Shares of jobs in percent whose tasks run until they are stopped, take more than half of a worker, or fail on one of the workers. */
const longRunningPercent = 4;
const largePercent = 10;
const failingPercent = 15;

/** One of so many jobs has one step of tasks that run for 8.6 to 15 s, about as long as the longest lease of a worker (10 s). */
const longInterval = 20;
const long = {baseMs: 8000, factor: 10} as const;

/** Time after the end of the load in which jobs with long-running tasks go on, so that it shows whether all of these run. */
export const longRunningMs = 18_000;

const finalStates = new Set(['completed', 'failed', 'cancelled']);

type Job = {readonly id: string; readonly organisation: Organisation; readonly steps: readonly SubmittedStep[]; readonly isCancelled: boolean; readonly isLongRunning: boolean; readonly attempts: number; nextProcess: number};

/** Callers of all organisations: they submit jobs at any process, repeat calls whose outcome is unknown, cancel some jobs and read the state of accepted ones until they end. */
export class SoakLoad {
	/** Jobs by their outcome for the caller so far. */
	readonly counts = {
		submitted: 0, accepted: 0, ended: 0, refused: 0,
	};

	readonly #callers = new CallerHttp();
	readonly #seed: number;
	readonly #events: EventLog;
	readonly #addresses: readonly string[];
	readonly #following: Array<Promise<void>> = [];
	readonly #overloads = new Map<Organisation, number>();
	/** Time at which callers give up on jobs that have not ended. */
	#giveUpAt = Number.POSITIVE_INFINITY;
	#isSubmitting = true;
	/** Time at which callers cancel the jobs with long-running tasks. */
	#cancelAt = Number.POSITIVE_INFINITY;

	constructor(options: {seed: number; events: EventLog; addresses: readonly string[]}) {
		this.#seed = options.seed;
		this.#events = options.events;
		this.#addresses = options.addresses;
	}

	overload(organisation: Organisation, change: 1 | -1): void {
		this.#overloads.set(organisation, (this.#overloads.get(organisation) ?? 0) + change);
	}

	/** Submits jobs until `finish` is called. */
	start(): void {
		for (const [position, organisation] of (Object.keys(organisations) as Organisation[]).entries()) {
			// Each organisation draws from a generator of its own, so that its jobs don't depend on the timing of the others.
			void this.#submitJobs(organisation, position, xoroshiro128plus((this.#seed * 31) + position));
		}
	}

	/** Submits no more jobs and waits until all accepted ones have ended, up to `limitMs`. */
	async finish(limitMs: number): Promise<void> {
		this.#isSubmitting = false;
		this.#giveUpAt = Date.now() + limitMs;
		this.#cancelAt = Date.now() + longRunningMs;
		await Promise.all(this.#following);
		this.#callers.close();
	}

	async #submitJobs(organisation: Organisation, position: number, random: RandomGenerator): Promise<void> {
		for (let number = 1; this.#isSubmitting; number++) {
			this.#following.push(this.#followJob(createJob(random, {organisation, number: (position * 0x10_00_00) + number})));
			const factor = (this.#overloads.get(organisation) ?? 0) > 0 ? overloadFactor : 1;
			const intervalMs = intervals[organisation];
			await delay(uniformInt(random, intervalMs / 2, intervalMs * 3 / 2) / factor);
		}
	}

	async #followJob(job: Job): Promise<void> {
		const {id, organisation, steps} = job;
		this.#events.record('submitted', {job: id, organisation, steps: [...steps]});
		this.counts.submitted++;
		if (!await this.#submit(job)) {
			this.counts.refused++;
			return;
		}

		this.counts.accepted++;
		if (job.isCancelled) {
			await this.#call('cancel', job);
		}

		while (Date.now() < this.#giveUpAt) {
			if (job.isLongRunning && Date.now() >= this.#cancelAt) {
				await this.#call('cancel', job);
			}

			const {state} = await this.#call('read', job);
			if (finalStates.has(state)) {
				this.counts.ended++;
				return;
			}

			await delay(readIntervalMs);
		}
	}

	async #submit(job: Job): Promise<boolean> {
		for (let attempt = 0; attempt < job.attempts; attempt++) {
			const {status} = await this.#call('submit', job);
			if (status === 200) {
				return true;
			}

			await delay(retryMs);
		}

		return false;
	}

	/** Makes a call at the next process and records its answer. */
	async #call(method: CallerMethod, job: Job): Promise<CallerAnswer> {
		const address = this.#addresses[job.nextProcess % this.#addresses.length] ?? '';
		job.nextProcess++;
		const key = organisations[job.organisation];
		const sentAt = Date.now();
		const answer = await this.#callers.call({
			method, address, key, job: job.id, steps: job.steps,
		});
		this.#events.record('answered', {
			sentAt, method, job: job.id, key, ...answer,
		});
		return answer;
	}
}

/** Draws a job. Its id holds the behaviour of its tasks for the stand-ins of the workers. */
function createJob(random: RandomGenerator, options: {organisation: Organisation; number: number}): Job {
	const {organisation, number} = options;
	const shortMs = uniformInt(random, 60, 700);
	const hasStraggler = uniformInt(random, 1, 100) <= duplicatesPercent;
	const allowDuplicates = hasStraggler && uniformInt(random, 0, 3) > 0;
	const isLongRunning = uniformInt(random, 1, 100) <= longRunningPercent;
	const isLong = !isLongRunning && number % longInterval === 0;
	const durationMs = isLong ? long.baseMs + (shortMs * long.factor) : shortMs;
	const isLarge = !isLongRunning && !isLong && uniformInt(random, 1, 100) <= largePercent;
	const isFailing = !isLongRunning && !isLong && uniformInt(random, 1, 100) <= failingPercent;
	const id = `${number.toString(16).padStart(8, '0')}${durationMs.toString(16).padStart(4, '0')}${[hasStraggler && !isLong, isFailing, isLongRunning].map(Number).join('')}0`;
	const steps = Array.from({length: isLongRunning || isLong ? 1 : uniformInt(random, 1, 2)}, (_, position) => ({
		count: uniformInt(random, 1, isLarge || isLongRunning || isLong ? 2 : 6),
		cpuMillis: isLarge ? uniformInt(random, 45, 75) * 100 : uniformInt(random, 5, 20) * 100,
		estimatedMs: Math.round(durationMs * uniformInt(random, 40, 250) / 100),
		after: position === 0 ? [] : [position - 1],
		allowDuplicates: allowDuplicates && !isLongRunning,
		longRunning: isLongRunning,
	}));
	return {
		id, organisation, steps, isCancelled: uniformInt(random, 1, 100) <= cancelledPercent, isLongRunning, attempts: uniformInt(random, 1, mostAttempts), nextProcess: uniformInt(random, 0, 99),
	};
}
