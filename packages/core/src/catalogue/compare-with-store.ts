/**
 * Comparison of the accepted catalogue with the content of the store.
 */
import {type Entry} from '../store/transaction.js';
import {buildCatalogueKeys} from './build-catalogue-keys.js';
import {isEntryPath} from './is-entry-path.js';
import {type AcceptedCatalogue, type VersionedEntry} from './catalogue-state.js';
import {formatEntry} from './format-entry.js';
import {parseHead} from './parse-head.js';
import {parseStoredEntry} from './parse-stored-entry.js';

/**
 * A stored value that this node has not accepted as an edit: written with other tools, or, with `entry`, by an edit
 * on a store that had been restored from an older state. `value` is `null` for a deletion.
 */
export type DirectWrite = {
	readonly path: string;
	readonly value: unknown;
	/** The stored text when it is not JSON. */
	readonly malformed?: string;
	/** Document of the edit; it keeps its request identifier. */
	readonly entry?: VersionedEntry;
};

/** Differences between the accepted catalogue and the store. */
export type StoreDifferences = {
	readonly headRevision: number;
	/** Entries newer than the accepted catalogue, up to the revision of the head. */
	readonly newer: readonly VersionedEntry[];
	/** Accepted entries that the store has lost. */
	readonly lost: readonly VersionedEntry[];
	readonly directWrites: readonly DirectWrite[];
};

type EntryDifference = {newer?: VersionedEntry; lost?: VersionedEntry; directWrite?: DirectWrite};

function compareVersioned(stored: VersionedEntry, known: VersionedEntry | undefined, acceptedRevision: number, headRevision: number): EntryDifference {
	if (stored.revision > headRevision) {
		// A correction restores lost entries before the head; the entry comes into force once the head reaches its revision.
		return {};
	}

	const knownRevision = known?.revision ?? 0;
	if (stored.revision > knownRevision) {
		// A revision at or below the accepted one that this node has not seen was assigned by an edit on a store restored from an older state.
		return stored.revision > acceptedRevision ? {newer: stored} : {directWrite: {path: stored.path, value: stored.value, entry: stored}};
	}

	if (known === undefined || stored.revision < knownRevision) {
		return known === undefined ? {} : {lost: known};
	}

	if (stored.requestId !== known.requestId) {
		// Two edits get the same revision only on a store restored from an older state; the accepted entry takes precedence.
		return {lost: known};
	}

	return JSON.stringify(stored.value) === JSON.stringify(known.value) ? {} : {directWrite: {path: stored.path, value: stored.value}};
}

function compareEntry(path: string, text: string | undefined, known: VersionedEntry | undefined, revisions: {accepted: number; head: number}): EntryDifference {
	if (text === undefined) {
		if (known === undefined) {
			return {};
		}

		if (known.revision > revisions.head) {
			return {lost: known};
		}

		return known.value === null ? {} : {directWrite: {path, value: null}};
	}

	if (known !== undefined && text === formatEntry(known)) {
		return {};
	}

	const stored = parseStoredEntry(path, text);
	if (stored.type === 'versioned') {
		return compareVersioned(stored.entry, known, revisions.accepted, revisions.head);
	}

	return {directWrite: stored.type === 'direct' ? {path, value: stored.value} : {path, value: undefined, malformed: text}};
}

function listPaths(accepted: AcceptedCatalogue, view: ReadonlyMap<string, Entry>, sections: string): Set<string> {
	const paths = new Set(accepted.entries.keys());
	for (const key of view.keys()) {
		if (key.startsWith(sections) && isEntryPath(key.slice(sections.length))) {
			paths.add(key.slice(sections.length));
		}
	}

	return paths;
}

/**
 * Compares the accepted catalogue with the store.
 *
 * @param accepted - the accepted catalogue
 * @param view - last known store entries, by key
 * @param prefix - prefix of all store keys
 * @param changed - paths to compare, by default all
 * @returns newer entries to apply, lost entries to restore, and direct writes
 * @example
 * const {newer, lost, directWrites} = compareWithStore(accepted, view, 'rosemaryquay/');
 */
export function compareWithStore(accepted: AcceptedCatalogue, view: ReadonlyMap<string, Entry>, prefix: string, changed?: readonly string[]): StoreDifferences {
	const keys = buildCatalogueKeys(prefix);
	const headRevision = parseHead(view.get(keys.head)?.value);
	const paths = changed ?? listPaths(accepted, view, keys.sections);

	const newer: VersionedEntry[] = [];
	const lost: VersionedEntry[] = [];
	const directWrites: DirectWrite[] = [];
	for (const path of paths) {
		const compared = compareEntry(path, view.get(`${keys.sections}${path}`)?.value, accepted.entries.get(path), {accepted: accepted.revision, head: headRevision});
		if (compared.newer !== undefined) {
			newer.push(compared.newer);
		}

		if (compared.lost !== undefined) {
			lost.push(compared.lost);
		}

		if (compared.directWrite !== undefined) {
			directWrites.push(compared.directWrite);
		}
	}

	return {
		headRevision, newer, lost, directWrites,
	};
}
