import {type Configuration, type Organisation, type Queue} from '../state/configuration-schema.js';
import {type WaveRequest} from '../state/instance.js';
import {type Job} from '../state/job-schema.js';
import {type ListedWorker} from '../state/scheduler.js';
import {checkDisruptionBudgets} from './check-disruption-budgets.js';
import {type Finding} from './finding.js';

/** What the store holds at present. Checks that need it are left out without it. */
type Surroundings = {readonly workers?: readonly ListedWorker[]; readonly jobs?: readonly Job[]; readonly waves?: readonly WaveRequest[]};

/**
 * Checks a valid configuration for entries that can never match and for limits that contradict each other.
 *
 * @param configuration - the configuration
 * @param surroundings - workers that the store lists, unfinished jobs, and waves of upkeep that are not completed
 * @returns what was found, in the order of the configuration's lists
 * @example
 * checkConfiguration(configuration, {workers, jobs});
 */
export function checkConfiguration(configuration: Configuration, surroundings: Surroundings = {}): Finding[] {
	return [
		...checkQueues(configuration),
		...checkOrganisations(configuration, surroundings.jobs ?? []),
		...checkPools(configuration, surroundings.workers),
		...checkJobs(configuration, surroundings),
		...checkDisruptionBudgets(configuration, {
			workers: [], jobs: [], waves: [], ...surroundings,
		}),
	];
}

function checkQueues({queues, pools, organisations}: Configuration): Finding[] {
	const findings: Finding[] = [];
	const seenNames = new Map<string, number>();
	const seenPaths = new Map<string, Queue>();
	for (const [position, queue] of queues.entries()) {
		const pool = pools.find(({name}) => name === queue.service);
		const location = `${queue.host}${queue.pathPrefix}`;
		if (seenNames.has(queue.name)) {
			findings.push({level: 'error', path: ['queues', position, 'name'], problem: `queue ${JSON.stringify(queue.name)} has the name of an earlier queue`});
		}

		const other = seenPaths.get(location);
		if (other !== undefined) {
			findings.push({level: 'error', path: ['queues', position, 'pathPrefix'], problem: `queue ${JSON.stringify(queue.name)} can never match: queue ${JSON.stringify(other.name)} has the same host and path prefix`});
		}

		if (queue.pathPrefix !== '' && !queue.pathPrefix.startsWith('/')) {
			findings.push({level: 'error', path: ['queues', position, 'pathPrefix'], problem: `queue ${JSON.stringify(queue.name)} can never match: its path prefix does not start with a slash`});
		}

		if (/:\d+$/.test(queue.host)) {
			findings.push({level: 'error', path: ['queues', position, 'host'], problem: `queue ${JSON.stringify(queue.name)} can never match: hosts are compared without their port`});
		}

		if (pool === undefined) {
			findings.push({level: 'error', path: ['queues', position, 'service'], problem: `queue ${JSON.stringify(queue.name)} belongs to the unknown service ${JSON.stringify(queue.service)}, so its jobs can never start`});
		}

		if (pool?.spare) {
			findings.push({level: 'error', path: ['queues', position, 'service'], problem: `queue ${JSON.stringify(queue.name)} belongs to the spare pool ${JSON.stringify(pool.name)}, which has no workers`});
		}

		if (!queue.openToAll && !organisations.some(({keys}) => keys.length > 0)) {
			findings.push({level: 'warning', path: ['queues', position, 'openToAll'], problem: `queue ${JSON.stringify(queue.name)} needs an API key, and no organisation has one`});
		}

		if (queue.stretch === 0 && queue.targetLatencyMs === 0) {
			findings.push({level: 'warning', path: ['queues', position, 'targetLatencyMs'], problem: `jobs of queue ${JSON.stringify(queue.name)} are late as soon as they arrive: both the stretch and the target latency are 0`});
		}

		seenNames.set(queue.name, position);
		seenPaths.set(location, queue);
	}

	return [...findings, ...findStarvedPriorities(queues)];
}

/** Queues that share a service with an open queue of higher priority: anybody can keep them from being served. */
function findStarvedPriorities(queues: readonly Queue[]): Finding[] {
	const findings: Finding[] = [];
	for (const [position, queue] of queues.entries()) {
		const preceding = queues.find(({service, priority, openToAll}) => service === queue.service && openToAll && priority < queue.priority);
		if (preceding !== undefined) {
			findings.push({level: 'warning', path: ['queues', position, 'priority'], problem: `queue ${JSON.stringify(queue.name)} may starve: queue ${JSON.stringify(preceding.name)} of the same service is open to all and goes first`});
		}
	}

	return findings;
}

function checkOrganisations({organisations}: Configuration, jobs: readonly Job[]): Finding[] {
	const findings: Finding[] = [];
	const holders = new Map<string, string>();
	const names = new Set<string>();
	for (const [position, organisation] of organisations.entries()) {
		const {name, keys, weight} = organisation;
		if (names.has(name)) {
			findings.push({level: 'error', path: ['organisations', position, 'name'], problem: `organisation ${JSON.stringify(name)} has the name of an earlier organisation`});
		}

		names.add(name);
		if (keys.length === 0) {
			findings.push({level: 'warning', path: ['organisations', position, 'keys'], problem: `organisation ${JSON.stringify(name)} has no API key, so it can only use queues that are open to all`});
		}

		if (weight === 0) {
			findings.push({level: 'warning', path: ['organisations', position, 'weight'], problem: `organisation ${JSON.stringify(name)} has weight 0, so it is served only while no other organisation waits`});
		}

		for (const [index, key] of keys.entries()) {
			const holder = holders.get(key);
			if (holder !== undefined && holder !== name) {
				findings.push({level: 'error', path: ['organisations', position, 'keys', index], problem: `organisations ${JSON.stringify(holder)} and ${JSON.stringify(name)} have the same API key`});
			}

			holders.set(key, name);
		}

		findings.push(...checkLimit(organisation, position, jobs));
	}

	return findings;
}

/** An upper limit below the largest task of an unfinished job keeps that job from ever ending. */
function checkLimit({name, limit}: Organisation, position: number, jobs: readonly Job[]): Finding[] {
	const findings: Finding[] = [];
	const own = jobs.filter(({organisation}) => organisation === name);
	for (const dimension of ['cpuMillis', 'memoryMb', 'accelerators'] as const) {
		const largest = Math.max(0, ...own.flatMap(({steps}) => steps.map(step => (dimension === 'cpuMillis' && step.fills ? 0 : step[dimension]) * (step.gang ? step.count : 1))));
		if (limit[dimension] > 0 && limit[dimension] < largest) {
			findings.push({level: 'error', path: ['organisations', position, 'limit', dimension], problem: `the upper limit of organisation ${JSON.stringify(name)} is ${limit[dimension]}, and an unfinished job of it has a task or gang that needs ${largest}`});
		}
	}

	return findings;
}

function checkPools({pools, queues}: Configuration, workers: readonly ListedWorker[] | undefined): Finding[] {
	const findings: Finding[] = [];
	const names = new Set<string>();
	for (const [position, {name, spare}] of pools.entries()) {
		if (names.has(name)) {
			findings.push({level: 'error', path: ['pools', position, 'name'], problem: `pool ${JSON.stringify(name)} has the name of an earlier pool`});
		}

		names.add(name);
		if (!spare && !queues.some(({service}) => service === name)) {
			findings.push({level: 'warning', path: ['pools', position, 'name'], problem: `no queue uses pool ${JSON.stringify(name)}`});
		}

		if (!spare && workers !== undefined && !workers.some(({service}) => service === name)) {
			findings.push({level: 'warning', path: ['pools', position, 'name'], problem: `pool ${JSON.stringify(name)} has no workers at the moment`});
		}
	}

	return findings;
}

/** Unfinished jobs that no worker could run under the configuration. */
function checkJobs({queues}: Configuration, {workers, jobs}: Surroundings): Finding[] {
	const findings: Finding[] = [];
	for (const [position, {name, service}] of queues.entries()) {
		const labels = new Set(workers?.filter(worker => worker.service === service).flatMap(worker => worker.labels));
		const requirements = new Set(jobs?.filter(({queue}) => queue === name).flatMap(({steps}) => steps.map(({requirement}) => requirement)));
		for (const requirement of requirements) {
			if (requirement !== '' && labels.size > 0 && !labels.has(requirement)) {
				findings.push({level: 'warning', path: ['queues', position], problem: `unfinished jobs of queue ${JSON.stringify(name)} need a worker with the label ${JSON.stringify(requirement)}, which no worker of ${JSON.stringify(service)} has`});
			}
		}
	}

	return findings;
}
