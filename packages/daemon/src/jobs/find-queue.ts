import {type Configuration, type Queue} from '@rosemaryquay/core/jobs/state/configuration-schema';

/**
 * Finds the queue that a request addresses: among the queues of its host, the one with the longest matching path prefix.
 *
 * @param configuration - the configuration in force
 * @param target - host of the request, without a port, and its path
 * @returns the queue, or undefined when none matches
 * @example
 * findQueue(configuration, {host: 'jobs.example', path: '/mail/0011223344556677'});
 */
export function findQueue(configuration: Configuration, target: {host: string; path: string}): Queue | undefined {
	let longestMatch: Queue | undefined;
	for (const queue of configuration.queues) {
		if (queue.host === target.host && target.path.startsWith(queue.pathPrefix) && queue.pathPrefix.length > (longestMatch?.pathPrefix.length ?? -1)) {
			longestMatch = queue;
		}
	}

	return longestMatch;
}
