/**
 * A catalogue at one revision, indexed for lookups while requests are admitted.
 */
import {type Catalogue} from './schema.js';

/** A catalogue with its revision and its indexes. */
export type Snapshot = {
	readonly revision: number;
	readonly catalogue: Catalogue;
	/** Team name by key hash. */
	readonly teamByKeyHash: ReadonlyMap<string, string>;
	/** Operator name by key hash. */
	readonly operatorByKeyHash: ReadonlyMap<string, string>;
};

function indexKeys(entries: Record<string, {keys: Record<string, {hash: string}>}>): Map<string, string> {
	const index = new Map<string, string>();
	for (const [name, entry] of Object.entries(entries)) {
		for (const key of Object.values(entry.keys)) {
			index.set(key.hash, name);
		}
	}

	return index;
}

/**
 * Indexes a catalogue.
 *
 * @param catalogue - a valid catalogue
 * @param revision - its revision, at least 0
 * @returns the snapshot
 * @example
 * const snapshot = createSnapshot(catalogue, 7);
 * snapshot.teamByKeyHash.get(hash);
 */
export function createSnapshot(catalogue: Catalogue, revision: number): Snapshot {
	return {
		revision,
		catalogue,
		teamByKeyHash: indexKeys(catalogue.teams),
		operatorByKeyHash: indexKeys(catalogue.operators),
	};
}
