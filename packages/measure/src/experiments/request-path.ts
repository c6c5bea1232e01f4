/**
 * Compares throughput and latency of requests through one daemon with those of the same client connected directly to the worker.
 */
import {createHash, randomUUID} from 'node:crypto';
import {catalogueSchema} from '@rosemaryquay/core/catalogue/schema';
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';
import {runLoad, type Load} from '../processes/run-load.js';
import {startDaemon} from '../processes/start-daemon.js';
import {startPlatform} from '../processes/start-platform.js';
import {startProcess} from '../processes/start-process.js';

const key = 'request-path-key-0001';
const slots = 64;
const connections = 32;
/** Rounds alternate between direct and through the daemon, and medians are compared, so that other load on the machine affects both. */
const rounds = 3;
const roundMs = 2500;
const halfLoadMs = 1500;
const warmUpMs = 1500;

function createCatalogue() {
	const owner = 'measure';
	return catalogueSchema.parse({
		organisations: {main: {owner}},
		teams: {
			main: {
				owner, organisation: 'main', share: 1, limits: {running: slots}, keys: {first: {hash: createHash('sha256').update(key).digest('hex')}},
			},
		},
		pools: {main: {owner, limits: {slotsPerInstance: slots}}},
		services: {main: {owner, pool: 'main', limits: {unavailable: 0}}},
		queues: {main: {owner, service: 'main', repeatable: true}},
		zones: {'zone-a': {owner, region: 'main'}},
	});
}

function median(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

export const requestPath: Experiment = {
	summary: 'Throughput and p99 of one daemon against the same client straight to the worker',
	async run() {
		const worker = startProcess('measure/dist/processes/worker-process.js', {args: [String(slots)]});
		const address = await worker.ready;
		const platform = await startPlatform(createCatalogue(), [{
			id: 'worker-1', address, zone: 'zone-a', rack: 'rack-1', pool: 'main', state: 'live',
		}]);
		const daemon = await startDaemon(platform, {instance: 'entry-1', zone: 'zone-a'}).catch(async (error: unknown) => {
			await worker.stop();
			throw error;
		});
		const directTarget = {url: address, path: '/tasks', headers: () => ({'rosemaryquay-attempt': randomUUID(), 'rosemaryquay-holder': 'client', 'rosemaryquay-lease-ms': '60000'})};
		const daemonTarget = {url: daemon.url, path: '/queues/main', headers: () => ({authorization: `Bearer ${key}`})};
		const full: {direct: Load[]; through: Load[]} = {direct: [], through: []};
		try {
			await runLoad(directTarget, {durationMs: warmUpMs, connections});
			await runLoad(daemonTarget, {durationMs: warmUpMs, connections});
			for (let round = 0; round < rounds; round++) {
				full.direct.push(await runLoad(directTarget, {durationMs: roundMs, connections}));
				full.through.push(await runLoad(daemonTarget, {durationMs: roundMs, connections}));
			}

			const directRate = median(full.direct.map(load => load.requestsPerSecond));
			const throughRate = median(full.through.map(load => load.requestsPerSecond));
			const halfLoad = {durationMs: halfLoadMs, connections, requestsPerSecond: throughRate / 2};
			const half: {direct: Load[]; through: Load[]} = {direct: [], through: []};
			for (let round = 0; round < rounds; round++) {
				half.direct.push(await runLoad(directTarget, halfLoad));
				half.through.push(await runLoad(daemonTarget, halfLoad));
			}

			const directP99 = median(half.direct.map(load => load.p99Ms));
			const daemonP99 = median(half.through.map(load => load.p99Ms));
			const failed = [...full.direct, ...full.through, ...half.direct, ...half.through].reduce((sum, load) => sum + load.failed, 0);
			return {
				bounds: [
					checkBound('throughput relative to direct', throughRate / directRate, {comparison: 'atLeast', limit: 0.5, unit: 'ratio'}),
					checkBound('p99 at half load relative to direct', daemonP99 / directP99, {comparison: 'atMost', limit: 2, unit: 'ratio'}),
					checkBound('answers other than 200', failed, {comparison: 'atMost', limit: 0, unit: 'requests'}),
				],
				baselines: [
					{
						name: 'direct', measure: 'throughput', unit: 'requests/s', value: directRate,
					},
					{
						name: 'direct', measure: 'p99 at half load', unit: 'ms', value: directP99,
					},
				],
				details: {
					throughRate, full, half,
				},
			};
		} finally {
			await daemon.stop();
			await worker.stop('SIGKILL');
			await platform.stop();
		}
	},
};
