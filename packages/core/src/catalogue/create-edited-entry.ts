import {type Edit, type VersionedEntry} from './catalogue-state.js';
import {maximumEarlier} from './document-schema.js';

/**
 * Builds the entry that an edit stores.
 *
 * @param edit - the edit
 * @param revision - its revision
 * @param previous - the entry that it replaces
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
		earlier: previous === undefined ? [] : [previous.requestId, ...previous.earlier].slice(0, maximumEarlier),
		value,
	};
}
