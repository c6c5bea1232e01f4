import {type Section, sectionSchemas} from './schema.js';

const sectionOrder = Object.keys(sectionSchemas);

/**
 * Names the store keys of the catalogue.
 *
 * @param prefix - prefix of the system's keys
 * @returns the key of the head, and the prefixes of all keys, sections and rejected values
 * @example
 * catalogueKeys('rosemaryquay/').head; // 'rosemaryquay/catalogue/head'
 */
export function catalogueKeys(prefix: string): {all: string; head: string; sections: string; rejected: string} {
	const all = `${prefix}catalogue/`;
	return {
		all, head: `${all}head`, sections: `${all}sections/`, rejected: `${all}rejected/`,
	};
}

/** Position of a path's section; references lead only to sections with a lower position. */
export function sectionRank(path: string): number {
	return sectionOrder.indexOf(path.split('/')[0] ?? '');
}

/** Whether a path names a section of the catalogue and one entry. */
export function isEntryPath(path: string): boolean {
	const [section = '', name = '', ...rest] = path.split('/');
	return sectionOrder.includes(section) && name !== '' && rest.length === 0;
}
