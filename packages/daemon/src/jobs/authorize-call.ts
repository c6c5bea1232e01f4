import {type Configuration, type Queue} from '@rosemaryquay/core/jobs/configuration-schema';

/**
 * Resolves the API key of a request to its organisation.
 *
 * @param configuration - the configuration in force
 * @param queue - queue that the request addresses
 * @param key - API key of the request; undefined when it carries none
 * @returns name of the organisation; empty for an unknown or missing key on a queue that is open to all; otherwise undefined
 * @example
 * authorizeCall(configuration, queue, 'key');
 */
export function authorizeCall(configuration: Configuration, queue: Queue, key: string | undefined): string | undefined {
	const organisation = key === undefined ? undefined : configuration.organisations.find(({keys}) => keys.includes(key));
	return organisation?.name ?? (queue.openToAll ? '' : undefined);
}
