/**
 * Transactions that correct the store: they restore lost entries, and adopt or reject direct writes.
 */
import {maximumCorrectedEntries} from '../constants.js';
import {type Entry, type Operation, type Transaction} from '../store/transaction.js';
import {applyEntries} from './apply-entries.js';
import {buildComparison} from './build-comparison.js';
import {createEditedEntry} from './create-edited-entry.js';
import {buildCatalogueKeys} from './build-catalogue-keys.js';
import {rankSection} from './rank-section.js';
import {type AcceptedCatalogue, type VersionedEntry} from './catalogue-state.js';
import {formatEntry} from './format-entry.js';
import {formatHead} from './format-head.js';
import {type DirectWrite, type StoreDifferences} from './compare-with-store.js';
import {type Section} from './schema.js';

/** Operator recorded for adopted direct writes. */
const directWriteOperator = 'store-tools';

/** A transaction that corrects the store, and the number of entries that it adopts, rejects and restores. */
export type Correction = {
	readonly transaction: Transaction;
	readonly adopted: number;
	readonly rejected: number;
	readonly restored: number;
};

function toEntry(write: DirectWrite, revision: number, requestId: string, accepted: AcceptedCatalogue): VersionedEntry {
	if (write.entry !== undefined) {
		return {...write.entry, revision};
	}

	const [section, name = ''] = write.path.split('/');
	return createEditedEntry({
		requestId: `${requestId}-${write.path}`, operator: directWriteOperator, section: section as Section, name, value: write.value,
	}, revision, accepted.entries.get(write.path));
}

/** Splits direct writes into those to adopt, which leave the whole catalogue valid, and those to reject. Writes beyond `maximumCorrectedEntries` wait for the next correction. */
function splitWrites(accepted: AcceptedCatalogue, writes: readonly DirectWrite[], revision: number, requestId: string): {adopted: VersionedEntry[]; rejected: DirectWrite[]} {
	const rejected = writes.filter(write => write.malformed !== undefined);
	const candidates = writes.filter(write => write.malformed === undefined).toSorted((a, b) => rankSection(a.path) - rankSection(b.path)).slice(0, maximumCorrectedEntries);
	const entries = candidates.map(write => toEntry(write, revision, requestId, accepted));
	if (applyEntries(accepted, entries, revision).ok) {
		return {adopted: entries, rejected};
	}

	const adopted: VersionedEntry[] = [];
	for (const [index, entry] of entries.entries()) {
		const candidate = candidates[index];
		if (applyEntries(accepted, [...adopted, entry], revision).ok) {
			adopted.push(entry);
		} else if (candidate !== undefined) {
			rejected.push(candidate);
		}
	}

	return {adopted, rejected};
}

/**
 * Builds the next transaction that corrects the store. It compares the head and every key that it
 * writes with their last known state, so that when several members correct the store at once, only one succeeds.
 *
 * @param accepted - the accepted catalogue
 * @param view - last known store entries, by key
 * @param differences - the differences between the accepted catalogue and the store
 * @param options - prefix of the store keys, and identifier of the correction
 * @returns the correction, or `undefined` when the store needs none
 * @example
 * const correction = buildCorrection(accepted, view, compareWithStore(accepted, view, prefix), {prefix, requestId});
 */
export function buildCorrection(accepted: AcceptedCatalogue, view: ReadonlyMap<string, Entry>, differences: StoreDifferences, options: {prefix: string; requestId: string}): Correction | undefined {
	const {prefix, requestId} = options;
	const {headRevision, lost, directWrites} = differences;
	const keys = buildCatalogueKeys(prefix);
	const isStoreBehind = headRevision < accepted.revision;
	if (lost.length === 0 && directWrites.length === 0 && !isStoreBehind) {
		return undefined;
	}

	const next = Math.max(headRevision, accepted.revision) + 1;
	const writes = new Map<string, string | undefined>();
	// A store whose head is behind, because it was restored from an older state, gets the lost documents back unchanged, and the head
	// with the last batch of them. When the head is not behind, lost entries and the head get a new revision, because
	// members apply only entries above the revision that they have.
	const restored = lost.slice(0, maximumCorrectedEntries);
	for (const entry of restored) {
		const key = `${keys.sections}${entry.path}`;
		writes.set(key, formatEntry(isStoreBehind ? entry : {...entry, revision: next}));
		const replaced = view.get(key);
		// A value without any request identifier of the entry is not an earlier version of it, so it is kept under the prefix of rejected values.
		if (replaced !== undefined && !replaced.value.includes(entry.requestId) && entry.earlier.every(id => !replaced.value.includes(id))) {
			writes.set(`${keys.rejected}${entry.path}`, replaced.value);
		}
	}

	let head = isStoreBehind && lost.length <= maximumCorrectedEntries ? accepted.revision : undefined;
	let counts = {adopted: 0, rejected: 0};
	if (restored.length < maximumCorrectedEntries && !isStoreBehind) {
		const {adopted, rejected} = splitWrites(accepted, directWrites, next, requestId);
		for (const entry of adopted) {
			writes.set(`${keys.sections}${entry.path}`, formatEntry(entry));
		}

		for (const write of rejected.slice(0, maximumCorrectedEntries)) {
			const key = `${keys.sections}${write.path}`;
			const known = accepted.entries.get(write.path);
			writes.set(`${keys.rejected}${write.path}`, write.malformed ?? JSON.stringify(write.value));
			writes.set(key, known === undefined ? undefined : formatEntry(known));
		}

		counts = {adopted: adopted.length, rejected: rejected.length};
		head = adopted.length > 0 || restored.length > 0 ? next : undefined;
	}

	if (head !== undefined) {
		writes.set(keys.head, formatHead(head, requestId));
	}

	const compared = new Set([keys.head, ...[...writes.keys()].filter(key => !key.startsWith(keys.rejected))]);
	const success: Operation[] = [...writes].map(([key, value]) => (value === undefined ? {type: 'delete', key} : {type: 'put', key, value}));
	return {
		transaction: {compare: [...compared].map(key => buildComparison(view, key)), success, failure: []},
		...counts,
		restored: restored.length,
	};
}
