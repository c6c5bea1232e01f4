import {type View} from '@rosemaryquay/core/jobs/views/view-schema';

/**
 * Converts usage against share to rows, in cores.
 *
 * @param shares - usage and share of the organisations
 * @returns the rows of a table
 * @example
 * formatSection('Usage against share', formatShares(view.shares));
 */
export function formatShares(shares: View['shares']) {
	return shares.map(({service, organisation, weight, used, waiting, share}) => ({
		service, organisation: organisation || 'none', weight, usedCores: used / 1000, shareCores: share / 1000, waitingCores: waiting / 1000,
	}));
}
