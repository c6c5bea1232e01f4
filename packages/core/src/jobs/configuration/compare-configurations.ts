import {isDeepStrictEqual} from 'node:util';
import {type Configuration, type Queue} from '../state/configuration-schema.js';
import {type Job} from '../state/job-schema.js';

/** Lists of a configuration whose entries have names. */
type ListName = 'queues' | 'pools' | 'organisations';

/** A difference between two configurations, and whom it affects. `configuration` stands for the values that are in no list. */
export type Difference = {
	readonly list: ListName | 'configuration';
	readonly name: string;
	readonly change: 'added' | 'removed' | 'changed';
	/** Changed fields with their values before and after. API keys are secrets, so only their numbers are given. */
	readonly fields: Readonly<Record<string, {readonly before: unknown; readonly after: unknown}>>;
	/** Names of the queues that it affects. */
	readonly queues: readonly string[];
	/** Names of the organisations with unfinished jobs that it affects, and of the one that it is about. */
	readonly organisations: readonly string[];
	/** Number of unfinished jobs that it affects. */
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
				...listAffected({list, name}, {jobs, queues: [...before.queues, ...after.queues]}),
			});
		}
	}

	if (before.maximumBodyBytes !== after.maximumBodyBytes) {
		differences.push({
			list: 'configuration', name: 'maximumBodyBytes', change: 'changed', fields: {maximumBodyBytes: {before: before.maximumBodyBytes, after: after.maximumBodyBytes}}, queues: after.queues.map(({name}) => name), organisations: [], unfinishedJobs: 0,
		});
	}

	return differences;
}

/** Lists whom a difference affects: the queues of a changed pool, and the queues and organisations of the unfinished jobs. */
function listAffected({list, name}: {list: ListName; name: string}, {jobs, queues}: {jobs: readonly Job[]; queues: readonly Queue[]}) {
	const affectedJobs = jobs.filter(job => affected[list](job) === name);
	const ofConfiguration = queues.filter(queue => (list === 'queues' && queue.name === name) || (list === 'pools' && queue.service === name)).map(queue => queue.name);
	const organisations = [...list === 'organisations' ? [name] : [], ...affectedJobs.map(({organisation}) => organisation).filter(organisation => organisation !== '')];
	return {
		queues: [...new Set([...ofConfiguration, ...affectedJobs.map(({queue}) => queue)])].toSorted(),
		organisations: [...new Set(organisations)].toSorted(),
		unfinishedJobs: affectedJobs.length,
	};
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
