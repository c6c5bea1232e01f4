import {type Edit, type VersionedEntry} from './catalogue-state.js';
import {maximumEarlierRequestIds} from './document-schema.js';

/**
 * Creates the versioned entry that an edit stores, with the request identifiers of the edits before it.
 *
 * @param edit - the edit
 * @param revision - catalogue revision of the edit
 * @param previous - the accepted entry, if there is one
 * @returns the versioned entry
 * @example
 * const entry = createEditedEntry(edit, 8, accepted.entries.get('teams/main'));
 */
export function createEditedEntry(edit: Omit<Edit, 'baseRevision'>, revision: number, previous: VersionedEntry | undefined): VersionedEntry {
	const {requestId, operator, section, name, value} = edit;
	return {
		path: `${section}/${name}`,
		revision,
		requestId,
		operator,
		earlier: previous === undefined ? [] : [previous.requestId, ...previous.earlier].slice(0, maximumEarlierRequestIds),
		value,
	};
}
