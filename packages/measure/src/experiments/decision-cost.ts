/**
 * Measures the processor time and memory of one admission, by number of workers and teams.
 */
import process from 'node:process';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {type Catalogue, catalogueSchema} from '@rosemaryquay/core/catalogue/schema';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {type Node} from '@rosemaryquay/core/node/node';
import {reduce} from '@rosemaryquay/core/node/reduce';
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';

/** Workers and pools: a present fleet, a tenth of the largest supported fleet, and the largest supported fleet. */
const sizes = [{workers: 40, pools: 5}, {workers: 1700, pools: 22}, {workers: 17_000, pools: 22}];
const teamCounts = [6, 430];
const zones = 25;
const runningTasks = 150;
const warmUpBatches = 60;
const batches = 300;
const admissionsPerBatch = 200;
const owner = 'measure';

function keyHashOf(team: number): string {
	return team.toString(16).padStart(64, '0');
}

function createCatalogue(pools: number, teams: number): Catalogue {
	const names = Array.from({length: pools}, (_, index) => `pool-${index}`);
	return catalogueSchema.parse({
		organisations: {main: {owner, limits: {teams}}},
		teams: Object.fromEntries(Array.from({length: teams}, (_, index) => [`team-${index}`, {
			owner, organisation: 'main', share: 1 + (index % 4), limits: {running: 1000}, keys: {first: {hash: keyHashOf(index)}},
		}])),
		pools: Object.fromEntries(names.map(name => [name, {owner}])),
		services: Object.fromEntries(names.map(name => [name, {owner, pool: name, limits: {unavailable: 1}}])),
		queues: Object.fromEntries(names.map(name => [name, {owner, service: name, repeatable: true}])),
		zones: Object.fromEntries(Array.from({length: zones}, (_, index) => [`zone-${index}`, {owner, region: 'main'}])),
	});
}

class AdmissionBenchmark {
	readonly #node: Node;
	readonly #running: string[] = [];
	readonly #pools: number;
	readonly #teams: number;
	/** Draws team and pool of each request independently: every team sends to every pool, so that sizes differ in workers alone. */
	readonly #random;
	#admitted = 0;
	#oldest = 0;

	constructor(options: {workers: number; pools: number; teams: number; seed: number}) {
		const {
			workers, pools, teams, seed,
		} = options;
		this.#pools = pools;
		this.#teams = teams;
		this.#random = xoroshiro128plus(seed);
		this.#node = createNode({
			id: 'entry-1', zone: 'zone-0', seed, soleHolder: true,
		});
		const instances: ListedInstance[] = Array.from({length: workers}, (_, index) => ({
			id: `worker-${index}`,
			address: `http://127.0.0.1:1/${index}`,
			zone: `zone-${index % zones}`,
			rack: `rack-${Math.floor(index / 4)}`,
			pool: `pool-${index % this.#pools}`,
			state: 'live',
		}));
		reduce(this.#node, {type: 'catalogue-loaded', at: 0, snapshot: createSnapshot(createCatalogue(this.#pools, teams), 1)});
		reduce(this.#node, {type: 'configuration-confirmed', at: 0});
		reduce(this.#node, {type: 'instances-listed', at: 0, instances});
		this.admit(runningTasks);
	}

	/** Admits requests. Once `runningTasks` tasks run, each further admission is followed by the end of the oldest task. */
	admit(count: number): void {
		for (let index = 0; index < count; index++) {
			const requestNumber = this.#admitted;
			this.#admitted += 1;
			const effects = reduce(this.#node, {
				type: 'request-arrived', at: 1, arrival: {
					id: `r-${requestNumber}`, queue: `pool-${uniformInt(this.#random, 0, this.#pools - 1)}`, keyHash: keyHashOf(uniformInt(this.#random, 0, this.#teams - 1)), bodyBytes: 100,
				},
			});
			for (const effect of effects) {
				if (effect.type === 'start-attempt') {
					this.#running.push(effect.attemptId);
				}
			}

			if (this.#running.length - this.#oldest > runningTasks) {
				const attemptId = this.#running[this.#oldest] ?? '';
				this.#oldest += 1;
				reduce(this.#node, {
					type: 'attempt-finished', at: 1, attemptId, outcome: {type: 'succeeded'},
				});
			}
		}

		this.#running.splice(0, this.#oldest);
		this.#oldest = 0;
	}
}

function median(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

type Cost = {readonly workers: number; readonly teams: number; microseconds: number; bytes: number};

/** Interleaves the batches of all sizes, so that a temporary slowdown of the machine affects all sizes alike. */
function measureCosts(seed: number): Cost[] {
	const benchmarks = sizes.flatMap(({workers, pools}) => teamCounts.map(teams => ({
		workers, teams, benchmark: new AdmissionBenchmark({
			workers, pools, teams, seed,
		}), times: [] as number[], bytes: [] as number[],
	})));
	for (let batch = 0; batch < warmUpBatches + batches; batch++) {
		for (const {benchmark, times, bytes} of benchmarks) {
			const before = process.memoryUsage().heapUsed;
			const startedAt = performance.now();
			benchmark.admit(admissionsPerBatch);
			const elapsedMs = performance.now() - startedAt;
			const allocated = process.memoryUsage().heapUsed - before;
			if (batch >= warmUpBatches) {
				times.push(elapsedMs * 1000 / admissionsPerBatch);
				// After a garbage collection within the batch, the difference in heap size says nothing about allocations.
				if (allocated > 0) {
					bytes.push(allocated / admissionsPerBatch);
				}
			}
		}
	}

	return benchmarks.map(({
		workers, teams, times, bytes,
	}) => ({
		workers, teams, microseconds: median(times), bytes: median(bytes),
	}));
}

export const decisionCost: Experiment = {
	summary: 'Processor time and memory of one admission with its end, at 40, 1,700 and 17,000 workers and 6 and 430 teams',
	run({seed}) {
		const costs = measureCosts(seed);
		// The cost may grow with the logarithm of the number of workers.
		const limit = Math.log(17_000) / Math.log(40);
		const unmeasured: Cost = {
			workers: 0, teams: 0, microseconds: Number.NaN, bytes: Number.NaN,
		};
		const costOf = (workers: number, teams: number): Cost => costs.find(cost => cost.workers === workers && cost.teams === teams) ?? unmeasured;
		return {
			bounds: teamCounts.flatMap(teams => {
				const small = costOf(40, teams);
				const large = costOf(17_000, teams);
				const target = {comparison: 'atMost', limit, unit: 'ratio'} as const;
				return [
					checkBound(`time at 17,000 workers relative to 40, ${teams} teams`, large.microseconds / small.microseconds, target),
					checkBound(`memory at 17,000 workers relative to 40, ${teams} teams`, large.bytes / small.bytes, target),
				];
			}),
			baselines: [],
			details: costs,
		};
	},
};
