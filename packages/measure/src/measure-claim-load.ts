import {createUserNodes} from './create-user-nodes.js';
import {type User} from './load-user.js';
import {Pump} from './pump.js';
import {startNode} from './start-node.js';

const durationMs = 10_000;
const answer = {status: 200, contentType: 'application/json', body: 'e30='};

/** Load of the store, and the time from arrival to start. */
export type ClaimLoad = {
	readonly storeCallsPerSecond: number;
	readonly started: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/**
 * Measures the store calls that requests with distinct idempotency keys cause without faults.
 *
 * @param user - the user whose entry instances take the requests in turn
 * @param options - requests a second, and the seed
 * @returns the figures
 * @example
 * measureClaimLoad(user, {requestsPerSecond: 1000, seed: 1}).storeCallsPerSecond;
 */
export function measureClaimLoad(user: User, options: {requestsPerSecond: number; seed: number}): ClaimLoad {
	const {requestsPerSecond, seed} = options;
	const pump = new Pump({
		nodes: createUserNodes(user, {seed}), seed, worker: {slots: 8, serviceTimeMs: () => 20, outcome: () => ({type: 'succeeded', answer})},
	});
	const ids = [...pump.nodes.keys()];
	for (const id of ids) {
		startNode(pump, user, id);
	}

	const hashes = Object.values(user.catalogue.teams).flatMap(team => Object.values(team.keys).slice(0, 1).map(key => key.hash));
	const queues = Object.keys(user.catalogue.queues);
	const arrivals = new Map<string, number>();
	const requests = requestsPerSecond * durationMs / 1000;
	for (let index = 0; index < requests; index++) {
		const taskId = `r-${index}`;
		pump.at(index * durationMs / requests, () => {
			arrivals.set(taskId, pump.now);
			pump.deliver(ids[index % ids.length] ?? '', {
				type: 'request-arrived', arrival: {
					id: taskId, queue: queues[index % queues.length] ?? '', keyHash: hashes[index % hashes.length] ?? '', bodyBytes: 100, fingerprint: taskId, idempotencyKey: `key-${index}`,
				},
			});
		});
	}

	pump.run(durationMs);
	const storeCallsPerSecond = pump.storeCalls * 1000 / durationMs;
	pump.run(durationMs + 5000);
	const waits: number[] = [];
	for (const entry of pump.trace) {
		if (entry.type === 'started') {
			waits.push(entry.at - (arrivals.get(entry.taskId) ?? entry.at));
		}
	}

	waits.sort((a, b) => a - b);
	return {
		storeCallsPerSecond, started: waits.length, p50Ms: waits[Math.floor(waits.length * 0.5)] ?? 0, p99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0,
	};
}
