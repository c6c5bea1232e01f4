import {isDeepStrictEqual} from 'node:util';
import {type Configuration} from '../state/configuration-schema.js';
import {type Job} from '../state/job-schema.js';

/** Lists of a configuration whose entries have names. */
type ListName = 'queues' | 'pools' | 'organisations';

/** A difference between two configurations. `unfinishedJobs` is the number of unfinished jobs that it affects. */
export type Difference = {
	readonly list: ListName;
	readonly name: string;
	readonly change: 'added' | 'removed' | 'changed';
	/** Changed fields with their values before and after. API keys are secrets, so only their numbers are given. */
	readonly fields: Readonly<Record<string, {readonly before: unknown; readonly after: unknown}>>;
	readonly unfinishedJobs: number;
};

type NamedEntry = {readonly name: string};

const affected: Record<ListName, (job: Job) => string> = {
	queues: ({queue}) => queue,
	pools: ({service}) => service,
	organisations: ({organisation}) => organisation,
};

/**
 * Lists what differs between the configuration in force and the one that is to replace it.
 *
 * @param before - the configuration in force
 * @param after - the other one
 * @param jobs - unfinished jobs, to count those that a difference affects
 * @returns the differences by list and name
 * @example
 * compareConfigurations(inForce, next, jobs);
 */
export function compareConfigurations(before: Configuration, after: Configuration, jobs: readonly Job[] = []): Difference[] {
	const differences: Difference[] = [];
	for (const list of ['queues', 'pools', 'organisations'] as const) {
		const earlier = new Map<string, NamedEntry>(before[list].map(entry => [entry.name, entry]));
		const later = new Map<string, NamedEntry>(after[list].map(entry => [entry.name, entry]));
		for (const name of new Set([...earlier.keys(), ...later.keys()])) {
			const fields = compareFields(earlier.get(name), later.get(name));
			if (Object.keys(fields).length === 0) {
				continue;
			}

			differences.push({
				list,
				name,
				change: earlier.has(name) ? (later.has(name) ? 'changed' : 'removed') : 'added',
				fields,
				unfinishedJobs: jobs.filter(job => affected[list](job) === name).length,
			});
		}
	}

	return differences;
}

function compareFields(before: NamedEntry | undefined, after: NamedEntry | undefined): Difference['fields'] {
	const earlier = new Map<string, unknown>(Object.entries(before ?? {}));
	const later = new Map<string, unknown>(Object.entries(after ?? {}));
	const fields: Record<string, {before: unknown; after: unknown}> = {};
	for (const field of new Set([...earlier.keys(), ...later.keys()])) {
		if (!isDeepStrictEqual(earlier.get(field), later.get(field))) {
			fields[field] = {before: hideKeys(field, earlier.get(field)), after: hideKeys(field, later.get(field))};
		}
	}

	return fields;
}

function hideKeys(field: string, value: unknown): unknown {
	return field === 'keys' && Array.isArray(value) ? `${value.length} keys` : value;
}
