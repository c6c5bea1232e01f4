import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {parse} from 'yaml';
import {z} from 'zod';
import {parseCatalogue} from '@rosemaryquay/core/catalogue/parse-catalogue';
import {type Catalogue} from '@rosemaryquay/core/catalogue/schema';
import {type ListedInstance} from '@rosemaryquay/core/node/event';

const fleetSchema = z.strictObject({
	entryInstances: z.int().min(1),
	instancesPerRack: z.int().min(1),
	zones: z.array(z.string()).min(1),
	pools: z.record(z.string(), z.int().min(1)),
});

export type Fleet = z.infer<typeof fleetSchema>;

/** Catalogue and fleet of one user, from `examples/`. */
export type User = {
	readonly name: string;
	readonly catalogue: Catalogue;
	readonly fleet: Fleet;
	/** All upstream instances; they are assigned to the availability zones in turn. */
	readonly instances: readonly ListedInstance[];
};

const examples = fileURLToPath(new URL('../../../examples', import.meta.url));

function listInstances(fleet: Fleet): ListedInstance[] {
	const instances: ListedInstance[] = [];
	for (const [pool, count] of Object.entries(fleet.pools)) {
		for (let index = 0; index < count; index++) {
			const zone = fleet.zones[instances.length % fleet.zones.length] ?? '';
			const rack = Math.floor(instances.length / (fleet.zones.length * fleet.instancesPerRack));
			const id = `${pool}-${index}`;
			instances.push({
				id, address: `http://127.0.0.1:1/${id}`, zone, rack: `${zone}-rack-${rack}`, pool, state: 'live',
			});
		}
	}

	return instances;
}

/**
 * Lists the users that have a catalogue in `examples/`.
 *
 * @returns their names, sorted
 * @example
 * for (const name of listUsers()) loadUser(name);
 */
export function listUsers(): string[] {
	return readdirSync(examples, {withFileTypes: true}).filter(entry => entry.isDirectory() && existsSync(`${examples}/${entry.name}/catalogue.yaml`)).map(entry => entry.name).toSorted();
}

/**
 * Loads one user's catalogue and fleet.
 *
 * @param name - name of the directory in `examples/`
 * @returns the user
 * @throws {Error} if the catalogue or the fleet in `examples/` is invalid
 * @example
 * const user = loadUser(listUsers()[0]);
 */
export function loadUser(name: string): User {
	const parsed = parseCatalogue(parse(readFileSync(`${examples}/${name}/catalogue.yaml`, 'utf8')));
	if (!parsed.ok) {
		throw new Error(`examples/${name}/catalogue.yaml is invalid: ${JSON.stringify(parsed.problems)}`);
	}

	const fleet = fleetSchema.parse(parse(readFileSync(`${examples}/${name}/fleet.yaml`, 'utf8')));
	return {
		name, catalogue: parsed.catalogue, fleet, instances: listInstances(fleet),
	};
}
