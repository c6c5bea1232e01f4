/**
 * Names the store keys of the catalogue.
 *
 * @param prefix - prefix of the system's keys
 * @returns the key of the head, and the prefixes of all keys, sections and rejected values
 * @example
 * nameKeys('rosemaryquay/').head; // 'rosemaryquay/catalogue/head'
 */
export function nameKeys(prefix: string): {all: string; head: string; sections: string; rejected: string} {
	const all = `${prefix}catalogue/`;
	return {
		all, head: `${all}head`, sections: `${all}sections/`, rejected: `${all}rejected/`,
	};
}
