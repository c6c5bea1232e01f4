/**
 * Counts requests that run more than once, and refusals that wrongly report "not run", for each injected fault over several seeds.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {type AttemptOutcome} from '@rosemaryquay/core/node/event';
import {checkBound} from '../check-bound.js';
import {createUserNodes} from '../create-user-nodes.js';
import {type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {measureClaimLoad} from '../measure-claim-load.js';
import {Simulation} from '../simulation.js';
import {startNode} from '../start-node.js';

const seedsPerCase = 4;
const keysPerRun = 300;
const arrivalWindowMs = 10_000;
const endMs = 45_000;
const deadlineMs = 8000;
const serviceTimeRangeMs = {min: 20, max: 400};
/** Requests with idempotency keys a second over all instances. */
const claimsPerSecond = 1000;

/** The store sustains several hundred writes a second, shared by all its callers; every call counts towards this limit. */
const maximumStoreCallsPerSecond = 300;

const answer = {status: 200, contentType: 'application/json', body: 'e30='};

/** Start of the injected faults, and end of the temporary ones. */
const faultStartMs = 2000;
const faultEndMs = 7000;

type Run = {
	readonly simulation: Simulation;
	readonly user: User;
	readonly random: ReturnType<typeof xoroshiro128plus>;
	outcome(attempt: {attemptId: string; at: number}): AttemptOutcome | undefined;
};

type Fault = (run: Run) => void;

function chance(run: Run, probability: number): boolean {
	return uniformInt(run.random, 0, 999) < probability * 1000;
}

const faults: Readonly<Record<string, Fault>> = {
	none() {
		// No fault: checks that every request runs when nothing fails.
	},
	'worker answer lost'(run) {
		run.outcome = () => (chance(run, 0.2) ? {type: 'lost', cause: 'connection-lost'} : undefined);
	},
	'worker answer duplicated'(run) {
		run.outcome = ({attemptId}) => {
			const nodeId = [...run.simulation.nodes.keys()].find(id => attemptId.startsWith(`${id}-`)) ?? '';
			for (const delayMs of [5, 500, 3000]) {
				run.simulation.after(serviceTimeRangeMs.max + delayMs, () => {
					run.simulation.deliver(nodeId, {type: 'attempt-finished', attemptId, outcome: {type: 'lost', cause: 'connection-lost'}});
				});
			}

			return undefined;
		};
	},
	'worker refuses or fails'(run) {
		const outcomes: readonly AttemptOutcome[] = [{type: 'not-started', cause: 'connection-refused'}, {type: 'not-started', cause: 'leaving'}, {type: 'failed', status: 500}];
		run.outcome = () => (chance(run, 0.3) ? outcomes[uniformInt(run.random, 0, outcomes.length - 1)] : undefined);
	},
	'store answer lost'({simulation}) {
		simulation.at(faultStartMs, () => {
			simulation.storeCondition = {lostResponseProbability: 0.4};
		});
	},
	'store down'({simulation}) {
		simulation.at(faultStartMs, () => {
			simulation.storeCondition = {down: true};
		});
		simulation.at(faultEndMs, () => {
			simulation.storeCondition = {};
		});
	},
	'store slow, answers lost, then down'({simulation}) {
		simulation.storeCondition = {lostResponseProbability: 0.5, delayMs: 700};
		simulation.at(faultStartMs, () => {
			simulation.storeCondition = {down: true};
		});
		simulation.at(faultEndMs, () => {
			simulation.storeCondition = {delayMs: 1500, lostResponseProbability: 0.3};
		});
	},
	'instance crash'({simulation, user}) {
		for (const [index, id] of ['entry-1', 'entry-2'].entries()) {
			simulation.at(faultStartMs + (index * 1500), () => {
				simulation.stop(id);
				const zone = simulation.nodes.get(id)?.zone ?? '';
				simulation.nodes.delete(id);
				simulation.addNode(createNode({id: `${id}r`, zone, seed: 100 + index}));
				startNode(simulation, user, `${id}r`);
				for (const other of simulation.nodes.keys()) {
					simulation.deliver(other, {type: 'peers-listed', members: [...simulation.nodes.keys()]});
				}
			});
		}
	},
	'instance paused'({simulation}) {
		for (const [index, id] of ['entry-1', 'entry-2', 'entry-3'].entries()) {
			simulation.at(faultStartMs + (index * 700), () => {
				simulation.pause(id, simulation.now + 3000 + (index * 5000));
			});
		}
	},
	'instance paused, store answers lost'(run) {
		faults['instance paused']?.(run);
		faults['store answer lost']?.(run);
	},
};

type Tally = {keys: number; neverRun: number; doubleRuns: number; falseNotRun: number; answered: number; submissions: number; storeWrites: number};

/** Submits each request up to three times to random instances, simultaneously or after a delay. */
function submitRequests(run: Run, options: {hasIdempotencyKeys: boolean; queues: ReadonlyArray<readonly [string, string]>}): Map<string, string> {
	const {simulation, random} = run;
	const keyByTaskId = new Map<string, string>();
	for (let index = 0; index < keysPerRun; index++) {
		const key = `key-${index}`;
		const [queue, keyHash] = options.queues[index % options.queues.length] ?? ['', ''];
		const firstAtMs = uniformInt(random, 0, arrivalWindowMs);
		const submissions = 1 + uniformInt(random, 0, 2);
		for (let submission = 0; submission < submissions; submission++) {
			const taskId = `${key}-${submission}`;
			const delayMs = [0, uniformInt(random, 1, 30), uniformInt(random, 100, 12_000)][uniformInt(random, 0, 2)] ?? 0;
			keyByTaskId.set(taskId, key);
			simulation.at(firstAtMs + (submission === 0 ? 0 : delayMs), () => {
				const ids = [...simulation.nodes.keys()];
				simulation.deliver(ids[uniformInt(random, 0, ids.length - 1)] ?? '', {
					type: 'request-arrived', arrival: {
						id: taskId, queue, keyHash, bodyBytes: 100, fingerprint: key, deadlineMs, ...(options.hasIdempotencyKeys && {idempotencyKey: key}),
					},
				});
			});
		}
	}

	return keyByTaskId;
}

function tallyTrace(simulation: Simulation, keyByTaskId: ReadonlyMap<string, string>): Tally {
	const startsByKey = new Map<string, number>();
	const startedTaskIds = new Set<string>();
	let answered = 0;
	let falseNotRun = 0;
	for (const entry of simulation.trace) {
		if (entry.type === 'started') {
			const key = keyByTaskId.get(entry.taskId) ?? '';
			startedTaskIds.add(entry.taskId);
			startsByKey.set(key, (startsByKey.get(key) ?? 0) + 1);
		} else if (entry.type === 'answered') {
			answered += 1;
		}
	}

	for (const entry of simulation.trace) {
		if (entry.type === 'refused' && entry.refusal.execution === 'not run' && startedTaskIds.has(entry.taskId)) {
			falseNotRun += 1;
		}
	}

	const doubleRuns = [...startsByKey.values()].reduce((sum, count) => sum + Math.max(0, count - 1), 0);
	return {
		keys: keysPerRun, neverRun: keysPerRun - startsByKey.size, doubleRuns, falseNotRun, answered, submissions: keyByTaskId.size, storeWrites: simulation.storeCalls,
	};
}

function runCase(user: User, fault: Fault, options: {seed: number; hasIdempotencyKeys: boolean}): Tally {
	const random = xoroshiro128plus(options.seed);
	const workerModel: Pick<Run, 'outcome'> = {outcome: () => undefined};
	const simulation = new Simulation({
		nodes: createUserNodes(user, {seed: options.seed}),
		seed: options.seed,
		worker: {
			slots: 8,
			serviceTimeMs: () => uniformInt(random, serviceTimeRangeMs.min, serviceTimeRangeMs.max),
			outcome: attempt => workerModel.outcome(attempt) ?? {type: 'succeeded', answer},
		},
	});
	for (const id of simulation.nodes.keys()) {
		startNode(simulation, user, id);
	}

	const run: Run = Object.assign(workerModel, {simulation, user, random});
	fault(run);
	const hashes = Object.values(user.catalogue.teams).flatMap(team => Object.values(team.keys).slice(0, 1).map(key => key.hash));
	const names = Object.entries(user.catalogue.queues).filter(([, queue]) => !queue.repeatable).map(([name]) => name);
	const queues = hashes.flatMap(hash => names.map(name => [name, hash] as const));
	const keyByTaskId = submitRequests(run, {hasIdempotencyKeys: options.hasIdempotencyKeys, queues});
	simulation.run(endMs);
	return tallyTrace(simulation, keyByTaskId);
}

function addTallies(sum: Tally, next: Tally): Tally {
	const total = {...sum};
	for (const name of Object.keys(next) as Array<keyof Tally>) {
		total[name] += next[name];
	}

	return total;
}

const emptyTally: Tally = {
	keys: 0, neverRun: 0, doubleRuns: 0, falseNotRun: 0, answered: 0, submissions: 0, storeWrites: 0,
};

export const atMostOnce: Experiment = {
	summary: 'Double runs and false "not run" over faults of workers, store and instances, with callers that submit again',
	run({seed}) {
		const users = listUsers().map(name => loadUser(name));
		const cases: Record<string, Tally> = {};
		let total = emptyTally;
		let baseline = emptyTally;
		for (const [name, fault] of Object.entries(faults)) {
			for (const user of users) {
				let sum = emptyTally;
				for (let round = 0; round < seedsPerCase; round++) {
					sum = addTallies(sum, runCase(user, fault, {seed: (seed * 1000) + round, hasIdempotencyKeys: true}));
				}

				cases[`${name}, ${user.name}`] = sum;
				total = addTallies(total, sum);
				baseline = addTallies(baseline, runCase(user, fault, {seed: seed * 1000, hasIdempotencyKeys: false}));
			}
		}

		const loads = users.map(user => ({user: user.name, ...measureClaimLoad(user, {requestsPerSecond: claimsPerSecond, seed})}));
		const storeCalls = Math.max(...loads.map(load => load.storeCallsPerSecond));
		const neverRunWithoutFaults = users.reduce((sum, user) => sum + (cases[`none, ${user.name}`]?.neverRun ?? 0), 0);
		return {
			bounds: [
				checkBound('double runs', total.doubleRuns, {comparison: 'atMost', limit: 0, unit: 'runs'}),
				checkBound('false "not run"', total.falseNotRun, {comparison: 'atMost', limit: 0, unit: 'refusals'}),
				checkBound('keys never run without faults', neverRunWithoutFaults, {comparison: 'atMost', limit: 0, unit: 'keys'}),
				checkBound(`store calls a second at ${claimsPerSecond} claims a second`, storeCalls, {comparison: 'atMost', limit: maximumStoreCallsPerSecond, unit: 'calls/s'}),
			],
			baselines: [{
				name: 'without claims, a quarter of the runs', measure: 'double runs', unit: 'runs', value: baseline.doubleRuns,
			}],
			details: {total, cases, loads},
		};
	},
};
