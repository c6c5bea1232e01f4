import {type AcceptedCatalogue, type VersionedEntry} from './catalogue-state.js';
import {createSnapshot, type Snapshot} from './create-snapshot.js';
import {type Problem} from './list-problems.js';
import {parseCatalogue} from './parse-catalogue.js';

/** The catalogue with the changes applied, or the problems for which the changes are rejected. */
export type AppliedEntries =
	| {readonly ok: true; readonly accepted: AcceptedCatalogue; readonly snapshot: Snapshot}
	| {readonly ok: false; readonly problems: readonly Problem[]};

function toDocument(entries: ReadonlyMap<string, VersionedEntry>): Record<string, Record<string, unknown>> {
	const document: Record<string, Record<string, unknown>> = {};
	for (const {path, value} of entries.values()) {
		if (value !== null) {
			const [section = '', name = ''] = path.split('/');
			document[section] ??= {};
			document[section][name] = value;
		}
	}

	return document;
}

/**
 * Applies changed entries to an accepted catalogue and validates the result as a whole. Entries that
 * are not newer than the accepted ones are skipped; the revision never decreases.
 *
 * @param accepted - the accepted catalogue
 * @param changed - the changed entries
 * @param revision - catalogue revision after the changes
 * @returns the resulting catalogue with its snapshot, or all problems
 * @example
 * const applied = applyEntries(accepted, [entry], entry.revision);
 */
export function applyEntries(accepted: AcceptedCatalogue, changed: readonly VersionedEntry[], revision: number): AppliedEntries {
	const entries = new Map(accepted.entries);
	for (const entry of changed) {
		if (entry.revision > (entries.get(entry.path)?.revision ?? 0)) {
			entries.set(entry.path, entry);
		}
	}

	const parsed = parseCatalogue(toDocument(entries));
	if (!parsed.ok) {
		return parsed;
	}

	const next = Math.max(accepted.revision, revision);
	return {ok: true, accepted: {revision: next, entries}, snapshot: createSnapshot(parsed.catalogue, next)};
}
