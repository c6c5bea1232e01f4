import {type Node} from '../node/node.js';

/**
 * Lists the workers on which a job has failed since it last succeeded, so that its next attempt
 * goes to another worker. A failure more than `parkingWindowMs` after the first one begins a new list.
 *
 * @param node - the node
 * @param job - queue and fingerprint
 * @returns identifiers of the workers
 * @example
 * const failedWorkers = listFailedWorkers(node, arrival);
 */
export function listFailedWorkers(node: Node, job: {readonly queue: string; readonly fingerprint?: string}): string[] {
	const {failures} = node.retries;
	const known = job.fingerprint === undefined || failures.size === 0 ? undefined : failures.get(`${job.queue}/${job.fingerprint}`);
	return [...known?.workers ?? []];
}
