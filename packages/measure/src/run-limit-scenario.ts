/**
 * Simulates one user's entry instances under skewed demand and a fault, and measures overruns,
 * utilisation of the limits and the recovery time of portions.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {type Catalogue} from '@rosemaryquay/core/catalogue/schema';
import {recordSchema} from '@rosemaryquay/core/limits/record';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {type Node} from '@rosemaryquay/core/node/node';
import {simulateMembership} from './simulate-membership.js';
import {type User} from './load-user.js';
import {Simulation} from './simulation.js';
import {type TraceEntry} from './simulation-types.js';

/** Interface through which a fault acts on the running scenario. */
export type FaultContext = {
	readonly simulation: Simulation;
	readonly user: User;
	/** Identifiers of the entry instances at the start. */
	readonly nodeIds: readonly string[];
	/** Starts an entry instance under a new identifier. */
	start(nodeId: string): void;
	/** Sets every limit to a multiple of the catalogue's limit from now on. */
	scaleLimits(factor: number): void;
	/** Redirects the requests of one entry instance to another. */
	redirectRequests(from: string, to: string): void;
};

export type LimitScenario = {
	readonly user: User;
	readonly seed: number;
	readonly durationMs: number;
	/** Teams that send requests; all by default. */
	readonly teams?: readonly string[];
	/** Demand relative to the limit of each team. */
	readonly demand: number;
	/** Fraction of a team's demand that arrives at one entry instance. */
	readonly skew: number;
	/** Whether each entry instance has an equal, fixed part of each limit. */
	readonly staticSplit?: boolean;
	fault?(context: FaultContext): void;
};

export type LimitMeasurements = {
	/** Starts that brought a team above the highest limit that may have been in force. */
	readonly overruns: number;
	/** Running time after the warm-up, as a fraction of what the limits allow. */
	readonly utilisation: number;
	readonly started: number;
	/** Store calls of one entry instance a second, including membership. */
	readonly callsPerSecond: number;
	readonly counters: Readonly<Record<string, number>>;
	/** Longest time for which a record still contained a portion of a stopped entry instance. */
	readonly recoveryMs: number;
};

const prefix = 'rosemaryquay/';
const warmUpMs = 3000;
const arrivalIntervalMs = 20;
const confirmIntervalMs = 500;
const recordCheckMs = 100;
/** Time within which a changed limit must be in force at every entry instance. It follows from the guarantee that an accepted configuration is in force everywhere within 3 s. */
const maximumPropagationMs = 3000;
const deadlineMs = 1500;
const shortTaskMs = 300;
const longTaskMs = 6000;
const longTaskEvery = 25;
const meanTaskMs = ((shortTaskMs * (longTaskEvery - 1)) + longTaskMs) / longTaskEvery;

function scaleCatalogue(catalogue: Catalogue, factor: number): Catalogue {
	const teams = Object.fromEntries(Object.entries(catalogue.teams).map(([name, team]) => [name, {...team, limits: {...team.limits, running: Math.floor(team.limits.running * factor)}}]));
	return {...catalogue, teams};
}

/** Lists one queue of each service, so that the demand of a team is spread over all pools. */
function listQueues(catalogue: Catalogue): string[] {
	const byService = new Map<string, string>();
	for (const [name, {service}] of Object.entries(catalogue.queues)) {
		byService.set(service, name);
	}

	return [...byService.values()];
}

class ScenarioRun implements FaultContext {
	readonly simulation: Simulation;
	readonly user: User;
	readonly nodeIds: readonly string[];
	recoveryMs = 0;
	/** Changes of the limits, as factors of the catalogue's limits, in order of time. */
	readonly factors: Array<{at: number; factor: number}> = [{at: 0, factor: 1}];
	readonly #scenario: LimitScenario;
	readonly #random: RandomGenerator;
	readonly #register: (nodeId: string) => void;
	readonly #redirects = new Map<string, string>();
	readonly #queues: readonly string[];
	#revision = 1;
	#requests = 0;

	constructor(scenario: LimitScenario) {
		const {user, seed} = scenario;
		this.#scenario = scenario;
		this.user = user;
		this.#random = xoroshiro128plus(seed);
		this.#queues = listQueues(user.catalogue);
		this.nodeIds = Array.from({length: user.fleet.entryInstances}, (_, index) => `entry-${index + 1}`);
		const worker = {slots: 8, serviceTimeMs: (taskId: string) => Number(taskId.slice(2)) % longTaskEvery === 0 ? longTaskMs : shortTaskMs};
		this.simulation = new Simulation({
			leases: 'managed', nodes: this.nodeIds.map(id => this.#createNode(id)), seed, worker,
		});
		this.#register = simulateMembership(this.simulation, prefix);
		for (const id of this.nodeIds) {
			this.#initialiseNode(id);
		}
	}

	start(nodeId: string): void {
		this.simulation.addNode(this.#createNode(nodeId));
		this.#register(nodeId);
		this.#initialiseNode(nodeId);
	}

	scaleLimits(factor: number): void {
		this.#revision += 1;
		this.factors.push({at: this.simulation.now, factor});
		for (const nodeId of this.simulation.nodes.keys()) {
			this.simulation.after(uniformInt(this.#random, 0, maximumPropagationMs / 2), () => {
				this.#loadCatalogue(nodeId);
			});
		}
	}

	redirectRequests(from: string, to: string): void {
		this.#redirects.set(from, to);
	}

	run(): void {
		const {simulation} = this;
		const {durationMs, fault} = this.#scenario;
		simulation.run(1000);
		for (const [index, team] of this.teams.entries()) {
			this.#generateRequests(team, index);
		}

		this.#measureRecovery(new Map());
		fault?.(this);
		simulation.run(durationMs);
	}

	get teams(): readonly string[] {
		return this.#scenario.teams ?? Object.keys(this.user.catalogue.teams);
	}

	#createNode(id: string): Node {
		const {staticSplit = false, seed} = this.#scenario;
		return createNode({
			id, zone: this.user.fleet.zones[0] ?? '', seed, prefix: staticSplit ? `${prefix}static/${id}/` : prefix,
		});
	}

	#loadCatalogue(nodeId: string): void {
		const split = this.#scenario.staticSplit === true ? this.nodeIds.length : 1;
		const factor = (this.factors.at(-1)?.factor ?? 1) / split;
		this.simulation.deliver(nodeId, {type: 'catalogue-loaded', snapshot: createSnapshot(scaleCatalogue(this.user.catalogue, factor), this.#revision)});
	}

	#initialiseNode(nodeId: string): void {
		const {simulation, user} = this;
		const node = simulation.nodes.get(nodeId);
		this.#loadCatalogue(nodeId);
		simulation.deliver(nodeId, {type: 'instances-listed', instances: user.instances});
		const confirm = (): void => {
			if (simulation.nodes.get(nodeId) === node && !simulation.isStopped(nodeId)) {
				simulation.deliver(nodeId, {type: 'configuration-confirmed'});
				simulation.after(confirmIntervalMs, confirm);
			}
		};

		confirm();
	}

	/** Generates a team's requests: the fraction `skew` to one entry instance, the rest evenly to the others. */
	#generateRequests(team: string, skewedNodeIndex: number): void {
		const {demand, skew} = this.#scenario;
		const entry = this.user.catalogue.teams[team];
		const [key] = Object.values(entry?.keys ?? {});
		const perInterval = demand * (entry?.limits.running ?? 0) * arrivalIntervalMs / meanTaskMs;
		const dueRequests = this.nodeIds.map(() => 0);
		const arrive = (): void => {
			for (const [index, id] of this.nodeIds.entries()) {
				const fraction = index === skewedNodeIndex % this.nodeIds.length ? skew : (1 - skew) / (this.nodeIds.length - 1);
				dueRequests[index] = (dueRequests[index] ?? 0) + (perInterval * fraction * uniformInt(this.#random, 0, 200) / 100);
				for (; (dueRequests[index] ?? 0) >= 1; dueRequests[index] = (dueRequests[index] ?? 0) - 1) {
					this.#requests += 1;
					const queue = this.#queues[this.#requests % this.#queues.length] ?? '';
					this.simulation.deliver(this.#redirects.get(id) ?? id, {
						type: 'request-arrived', arrival: {
							id: `r-${this.#requests}`, queue, bodyBytes: 0, deadlineMs, ...(key !== undefined && {keyHash: key.hash}),
						},
					});
				}
			}

			this.simulation.after(arrivalIntervalMs, arrive);
		};

		arrive();
	}

	/** Measures periodically how long portions of stopped entry instances stay in the records. */
	#measureRecovery(stoppedAt: Map<string, number>): void {
		const {simulation} = this;
		for (const nodeId of simulation.nodes.keys()) {
			if (simulation.isStopped(nodeId) && !stoppedAt.has(nodeId)) {
				stoppedAt.set(nodeId, simulation.now);
			}
		}

		for (const {value} of stoppedAt.size === 0 ? [] : simulation.store.list(`${prefix}limits/`).entries) {
			for (const holder of Object.keys(recordSchema.parse(JSON.parse(value)).portions)) {
				this.recoveryMs = Math.max(this.recoveryMs, simulation.now - (stoppedAt.get(holder) ?? simulation.now));
			}
		}

		simulation.after(recordCheckMs, () => {
			this.#measureRecovery(stoppedAt);
		});
	}
}

/** Returns the highest limit that may be in force at a time; a replaced limit may still be in force for `maximumPropagationMs`. */
function highestLimitAt(limit: number, factors: ReadonlyArray<{at: number; factor: number}>, at: number): number {
	let highest = 0;
	for (const [index, {factor}] of factors.entries()) {
		const next = factors[index + 1];
		if (factors[index]?.at !== undefined && (factors[index]?.at ?? 0) <= at && (next === undefined || at <= next.at + maximumPropagationMs)) {
			highest = Math.max(highest, Math.floor(limit * factor));
		}
	}

	return highest;
}

function measureTeam(trace: readonly TraceEntry[], limit: number, factors: ReadonlyArray<{at: number; factor: number}>, durationMs: number): {overruns: number; busyMs: number; started: number} {
	let [running, overruns, started, busyMs, since] = [0, 0, 0, 0, 0];
	for (const entry of trace) {
		busyMs += running * Math.max(0, entry.at - Math.max(since, warmUpMs));
		since = entry.at;
		if (entry.type === 'started') {
			running += 1;
			started += 1;
			overruns += running > highestLimitAt(limit, factors, entry.at) ? 1 : 0;
		} else if (entry.type === 'ended') {
			running -= 1;
		}
	}

	return {overruns, busyMs: busyMs + (running * (durationMs - since)), started};
}

/**
 * Runs a scenario on virtual time.
 *
 * @param scenario - user, seed, demand and fault
 * @returns overruns, utilisation, store calls and recovery time
 * @example
 * const {overruns} = runLimitScenario({user, seed: 1, durationMs: 30_000, demand: 1.5, skew: 0.9});
 */
export function runLimitScenario(scenario: LimitScenario): LimitMeasurements {
	const run = new ScenarioRun(scenario);
	run.run();
	const {durationMs, user} = scenario;
	let [overruns, busyMs, started, limits] = [0, 0, 0, 0];
	for (const team of run.teams) {
		const limit = user.catalogue.teams[team]?.limits.running ?? 0;
		const trace = run.simulation.trace.filter(entry => (entry.type === 'started' || entry.type === 'ended') && entry.team === team);
		const measured = measureTeam(trace, limit, run.factors, durationMs);
		overruns += measured.overruns;
		busyMs += measured.busyMs;
		started += measured.started;
		limits += limit;
	}

	return {
		overruns,
		utilisation: busyMs / (limits * (durationMs - warmUpMs)),
		started,
		callsPerSecond: run.simulation.storeCalls / run.nodeIds.length / (durationMs / 1000),
		counters: Object.fromEntries([...run.simulation.counters].filter(([name]) => name.startsWith('portion.') || name.startsWith('refusal'))),
		recoveryMs: run.recoveryMs,
	};
}
