import {sectionSchemas} from './schema.js';

const sections = new Set(Object.keys(sectionSchemas));

/**
 * Tells whether a path consists of a section of the catalogue and the name of an entry.
 *
 * @param path - part of a store key
 * @returns whether it is `<section>/<name>`
 * @example
 * isEntryPath('teams/main'); // true
 */
export function isEntryPath(path: string): boolean {
	const [section = '', name = '', ...rest] = path.split('/');
	return sections.has(section) && name !== '' && rest.length === 0;
}
