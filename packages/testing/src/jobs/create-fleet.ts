import {type Configuration, configurationSchema} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type Job, jobSchema} from '@rosemaryquay/core/jobs/state/job-schema';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';
import {type z} from 'zod';

/**
 * Creates a configuration with two queues of one service, its pool and a spare pool.
 *
 * @param changes - properties that override the defaults
 * @returns the configuration
 * @example
 * createConfiguration({version: 2});
 */
export function createConfiguration(changes: Partial<z.input<typeof configurationSchema>> = {}): Configuration {
	return configurationSchema.parse({
		version: 1,
		queues: [
			{
				name: 'plans', host: 'jobs.example', pathPrefix: '/plans/', service: 'planner', maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600,
			},
			{
				name: 'watches', host: 'jobs.example', pathPrefix: '/watches/', service: 'planner', maximumAttempts: 3, stretch: 2, targetLatencyMs: 2500, openToAll: true,
			},
		],
		pools: [{name: 'planner'}, {name: 'reserve', spare: true}],
		organisations: [{name: 'north', keys: ['key-north']}, {name: 'south', keys: ['key-south']}],
		maximumBodyBytes: 65_536,
		...changes,
	});
}

/**
 * Creates workers of one service, two to a rack.
 *
 * @param count - number of workers
 * @param changes - properties that override the defaults
 * @returns the workers, with the identifiers `w1`, `w2` and so on
 * @example
 * createWorkers(4);
 */
export function createWorkers(count: number, changes: Partial<ListedWorker> = {}): ListedWorker[] {
	return Array.from({length: count}, (_, position) => ({
		id: `w${position + 1}`,
		address: `10.0.0.${position + 1}:80`,
		service: 'planner',
		availabilityZone: position % 2 === 0 ? 'east' : 'west',
		rack: `r${Math.floor(position / 2)}`,
		labels: ['a', `r${Math.floor(position / 2)}`],
		capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0},
		leaving: false,
		instance: `m${position + 1}`,
		startedAtMs: 1,
		...changes,
	}));
}

/**
 * Creates a job of the queue `plans` with one step of two tasks.
 *
 * @param id - identifier
 * @param changes - properties that override the defaults
 * @returns the job
 * @example
 * createJob('a');
 */
export function createJob(id: string, changes: Partial<z.input<typeof jobSchema>> = {}): Job {
	return jobSchema.parse({
		id,
		queue: 'plans',
		service: 'planner',
		organisation: 'north',
		acceptedAtMs: 0,
		steps: [{
			count: 2, cpuMillis: 2000, memoryMb: 1024, estimatedMs: 500,
		}],
		maximumAttempts: 3,
		stretch: 1.6,
		targetLatencyMs: 600,
		...changes,
	});
}
