import {type Catalogue} from '@rosemaryquay/core/catalogue/schema';
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {InstancesServer} from '@rosemaryquay/testing/instances-server';
import {StoreServer} from '@rosemaryquay/testing/store-server';

/** Fake servers of the platform, listening on loopback. */
export type Platform = {
	readonly store: StoreServer;
	readonly instanceList: InstancesServer;
	stop(): Promise<void>;
};

/**
 * Starts fakes of the platform's store and instance list, with a catalogue and a fleet.
 *
 * @param catalogue - catalogue to put into the store
 * @param instances - the fleet
 * @param options - prefix of the keys in the store
 * @returns the platform
 * @example
 * const platform = await startPlatform(catalogue, instances);
 */
export async function startPlatform(catalogue: Catalogue, instances: readonly ListedInstance[], options: {prefix?: string} = {}): Promise<Platform> {
	const {prefix = 'rosemaryquay/'} = options;
	const store = new StoreServer();
	const instanceList = new InstancesServer();
	for (const [section, entries] of Object.entries(catalogue)) {
		for (const [name, entry] of Object.entries(entries)) {
			store.model.put(`${prefix}catalogue/sections/${section}/${name}`, JSON.stringify(entry));
		}
	}

	instanceList.instances = [...instances];
	await Promise.all([store.start(), instanceList.start()]);
	return {
		store,
		instanceList,
		async stop() {
			await Promise.all([store.stop(), instanceList.stop()]);
		},
	};
}
