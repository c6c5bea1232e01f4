/**
 * Builds the store keys of the catalogue.
 *
 * @param prefix - prefix of all store keys
 * @returns the key of the head, and the prefixes of all catalogue keys, of the sections and of rejected values
 * @example
 * buildCatalogueKeys('rosemaryquay/').head; // 'rosemaryquay/catalogue/head'
 */
export function buildCatalogueKeys(prefix: string): {root: string; head: string; sections: string; rejected: string} {
	const all = `${prefix}catalogue/`;
	return {
		root: all, head: `${all}head`, sections: `${all}sections/`, rejected: `${all}rejected/`,
	};
}
