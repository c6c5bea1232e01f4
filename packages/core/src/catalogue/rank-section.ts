import {sectionSchemas} from './schema.js';

const order = Object.keys(sectionSchemas);

/**
 * Ranks an entry by its section. Entries refer only to sections of a lower rank, so that entries
 * adopted in this order keep the catalogue valid.
 *
 * @param path - `<section>/<name>`
 * @returns position of the section
 * @example
 * paths.toSorted((a, b) => rankSection(a) - rankSection(b));
 */
export function rankSection(path: string): number {
	return order.indexOf(path.split('/')[0] ?? '');
}
