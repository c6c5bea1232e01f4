import {type JobOutlook} from './job-outlook.js';

/**
 * Sorts outlooks for placement. Outlooks whose place among each other has not changed since the previous decision are taken
 * over from it; only the others are sorted and inserted. The order is total, so the result does not depend on the previous one.
 *
 * @param outlooks - the outlooks with their present positions and rating classes
 * @param previous - the outlooks as the previous decision sorted them; undefined if the positions of those that stay have changed among each other
 * @param decision - number of the present decision
 * @returns the sorted outlooks
 * @example
 * scheduler.previousOrder = sortOutlooks(outlooks, scheduler.previousOrder, scheduler.orderNumber);
 */
export function sortOutlooks(outlooks: readonly JobOutlook[], previous: readonly JobOutlook[] | undefined, decision: number): readonly JobOutlook[] {
	if (previous === undefined) {
		return outlooks.toSorted(compareOutlooks);
	}

	const changed = outlooks.filter(({changedAtDecision}) => changedAtDecision === decision).toSorted(compareOutlooks);
	if (changed.length === 0 && previous.length === outlooks.length) {
		return previous;
	}

	return insertOutlooks(previous.filter(outlook => outlook.decision === decision && outlook.changedAtDecision !== decision), changed);
}

/** Inserts sorted outlooks into other sorted ones. */
function insertOutlooks(kept: readonly JobOutlook[], inserted: readonly JobOutlook[]): JobOutlook[] {
	const merged: JobOutlook[] = [];
	let copied = 0;
	for (const outlook of inserted) {
		const end = findInsertPosition(kept, outlook, copied);
		for (; copied < end; copied++) {
			merged.push(kept[copied]!);
		}

		merged.push(outlook);
	}

	for (; copied < kept.length; copied++) {
		merged.push(kept[copied]!);
	}

	return merged;
}

/** Binary search for the first outlook that comes after the inserted one. */
function findInsertPosition(kept: readonly JobOutlook[], inserted: JobOutlook, from: number): number {
	let low = from;
	let high = kept.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (compareOutlooks(kept[middle]!, inserted) < 0) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}

/** Long-running jobs first, then jobs of use, then by priority and class of the rating; the older one of equal jobs, and the first in the list of the caller if they are of the same age. */
function compareOutlooks(left: JobOutlook, right: JobOutlook): number {
	if (left.isLongRunning !== right.isLongRunning) {
		return left.isLongRunning ? -1 : 1;
	}

	if (left.rating === 0 !== (right.rating === 0)) {
		return left.rating === 0 ? 1 : -1;
	}

	return left.priority - right.priority || right.ratingClass - left.ratingClass || left.dueAt - right.dueAt || left.position - right.position;
}
