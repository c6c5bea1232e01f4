import {sectionSchemas} from './schema.js';

const sectionNames = Object.keys(sectionSchemas);

/**
 * Ranks an entry by the position of its section. Entries refer only to sections of a lower rank, so
 * that the catalogue stays valid when entries are adopted in this order.
 *
 * @param path - `<section>/<name>`
 * @returns position of the section, -1 for an unknown one
 * @example
 * paths.toSorted((a, b) => rankSection(a) - rankSection(b));
 */
export function rankSection(path: string): number {
	return sectionNames.indexOf(path.split('/')[0] ?? '');
}
