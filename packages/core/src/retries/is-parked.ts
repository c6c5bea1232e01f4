import {type Node} from '../node/node.js';

/**
 * Tells whether a job is parked, that is refused for a time because it failed too often, and on several workers.
 *
 * @param node - the node; the failures of a job whose parking has expired are removed
 * @param job - queue and fingerprint
 * @param at - now, in milliseconds
 * @returns whether the job is parked
 * @example
 * if (isParked(node, arrival, at)) refuse('request-parked');
 */
export function isParked(node: Node, job: {readonly queue: string; readonly fingerprint?: string}, at: number): boolean {
	const {failures} = node.retries;
	if (job.fingerprint === undefined || failures.size === 0) {
		return false;
	}

	const key = `${job.queue}/${job.fingerprint}`;
	const parkedUntil = failures.get(key)?.parkedUntil;
	if (parkedUntil !== undefined && parkedUntil <= at) {
		failures.delete(key);
		return false;
	}

	return parkedUntil !== undefined;
}
