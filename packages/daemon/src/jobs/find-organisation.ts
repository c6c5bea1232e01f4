import {type Configuration, type Queue} from '@rosemaryquay/core/jobs/state/configuration-schema';

/**
 * Finds the organisation whose API key a request carries.
 *
 * @param configuration - the configuration in force
 * @param queue - queue that the request addresses
 * @param key - API key of the request; undefined when it carries none
 * @returns name of the organisation. For an unknown or missing key: an empty name if the queue is open to all, otherwise undefined
 * @example
 * findOrganisation(configuration, queue, 'key');
 */
export function findOrganisation(configuration: Configuration, queue: Queue, key: string | undefined): string | undefined {
	const organisation = key === undefined ? undefined : configuration.organisations.find(({keys}) => keys.includes(key));
	return organisation?.name ?? (queue.openToAll ? '' : undefined);
}
