import {createUserNodes} from './create-user-nodes.js';
import {type User} from './load-user.js';
import {Simulation} from './simulation.js';
import {startNode} from './start-node.js';

const durationMs = 10_000;
const answer = {status: 200, contentType: 'application/json', body: 'e30='};

/** Store calls a second, and percentiles of the time from arrival to start. */
export type ClaimLoad = {
	readonly storeCallsPerSecond: number;
	readonly started: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/**
 * Measures the store calls and the latency that idempotency claims cause, with a distinct key for each request and no faults.
 *
 * @param user - the user whose entry instances take the requests in turn
 * @param options - requests a second, and the seed
 * @returns store calls a second, and time from arrival to start in milliseconds
 * @example
 * measureClaimLoad(user, {requestsPerSecond: 1000, seed: 1}).storeCallsPerSecond;
 */
export function measureClaimLoad(user: User, options: {requestsPerSecond: number; seed: number}): ClaimLoad {
	const {requestsPerSecond, seed} = options;
	const simulation = new Simulation({
		nodes: createUserNodes(user, {seed}), seed, worker: {slots: 8, serviceTimeMs: () => 20, outcome: () => ({type: 'succeeded', answer})},
	});
	const ids = [...simulation.nodes.keys()];
	for (const id of ids) {
		startNode(simulation, user, id);
	}

	const hashes = Object.values(user.catalogue.teams).flatMap(team => Object.values(team.keys).slice(0, 1).map(key => key.hash));
	const queues = Object.keys(user.catalogue.queues);
	const arrivals = new Map<string, number>();
	const requests = requestsPerSecond * durationMs / 1000;
	for (let index = 0; index < requests; index++) {
		const taskId = `r-${index}`;
		simulation.at(index * durationMs / requests, () => {
			arrivals.set(taskId, simulation.now);
			simulation.deliver(ids[index % ids.length] ?? '', {
				type: 'request-arrived', arrival: {
					id: taskId, queue: queues[index % queues.length] ?? '', keyHash: hashes[index % hashes.length] ?? '', bodyBytes: 100, fingerprint: taskId, idempotencyKey: `key-${index}`,
				},
			});
		});
	}

	simulation.run(durationMs);
	const storeCallsPerSecond = simulation.storeCalls * 1000 / durationMs;
	simulation.run(durationMs + 5000);
	const waits: number[] = [];
	for (const entry of simulation.trace) {
		if (entry.type === 'started') {
			waits.push(entry.at - (arrivals.get(entry.taskId) ?? entry.at));
		}
	}

	waits.sort((a, b) => a - b);
	return {
		storeCallsPerSecond, started: waits.length, p50Ms: waits[Math.floor(waits.length * 0.5)] ?? 0, p99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0,
	};
}
