import {type View} from './view-schema.js';

/** Largest size of each part in bytes, with the whole below the 16 kB of its store entry. */
const maximumBytes = {
	pools: 5500, queues: 1500, shares: 4000, backlogs: 1000, jobs: 2300, waitCounts: 600, waits: 800,
} as const;

const encoder = new TextEncoder();

/**
 * Encodes the view of the schedule for its store entry. What exceeds the size of a part is left out, the last entries first.
 *
 * @param view - the view
 * @returns JSON text of less than 16 kB
 * @example
 * encodeView(measureView(scheduler, options)).length;
 */
export function encodeView({term, pools, queues, shares, backlogs, jobs, waitCounts, waits}: View): string {
	const fittingView: View = {
		term,
		pools: takeFitting(pools, maximumBytes.pools),
		queues: Object.fromEntries(takeFitting(Object.entries(queues), maximumBytes.queues)),
		shares: takeFitting(shares, maximumBytes.shares),
		backlogs: takeFitting(backlogs, maximumBytes.backlogs),
		jobs: takeFitting(jobs, maximumBytes.jobs),
		waitCounts: takeFitting(waitCounts, maximumBytes.waitCounts),
		waits: takeFitting(waits, maximumBytes.waits),
	};
	return JSON.stringify(fittingView);
}

function takeFitting<Item>(items: readonly Item[], bytes: number): Item[] {
	let left = bytes;
	for (const [position, item] of items.entries()) {
		left -= encoder.encode(JSON.stringify(item)).length + 1;
		if (left < 0) {
			return items.slice(0, position);
		}
	}

	return [...items];
}
