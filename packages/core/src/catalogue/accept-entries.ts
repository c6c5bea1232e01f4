import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {recordZoneChanges} from '../shares/record-zone-changes.js';
import {applyEntries} from './apply-entries.js';
import {type VersionedEntry} from './catalogue-state.js';

/**
 * Accepts a newer catalogue revision and brings it into force. An invalid revision is rejected as a whole, and the accepted catalogue stays.
 *
 * @param node - the node, updated in place
 * @param entries - the entries that changed
 * @param revision - catalogue revision after the change
 * @param at - now, in milliseconds
 * @returns the log report that the revision was loaded, or was invalid
 * @example
 * const effects = acceptEntries(node, message.entries, message.revision, at);
 */
export function acceptEntries(node: Node, entries: readonly VersionedEntry[], revision: number, at: number): Effect[] {
	const {catalogue} = node;
	if (revision <= catalogue.accepted.revision || revision <= catalogue.invalidRevision) {
		return [];
	}

	const applied = applyEntries(catalogue.accepted, entries, revision);
	if (!applied.ok) {
		catalogue.invalidRevision = revision;
		return [{type: 'count', counter: 'catalogue.invalid'}, {type: 'report', report: {type: 'catalogue-invalid', revision, problems: applied.problems}}];
	}

	catalogue.accepted = applied.accepted;
	if (applied.snapshot.revision > node.snapshot.revision) {
		node.snapshot = applied.snapshot;
		recordZoneChanges(node, at);
	}

	if (catalogue.newerRevision !== undefined && catalogue.newerRevision.revision <= revision) {
		catalogue.newerRevision = undefined;
	}

	return [{type: 'report', report: {type: 'catalogue-loaded', revision}}];
}
