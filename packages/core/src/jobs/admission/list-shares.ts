import {type Scheduler} from '../state/scheduler.js';
import {type WaitingJob} from './list-waiting-jobs.js';

/** Fraction of the capacity that an organisation is owed, and whether it uses more than that. */
export type Share = {readonly fraction: number; readonly isExceeded: boolean};

/**
 * Lists the shares of the organisations with work, by weight. With fewer than two of them there are no shares.
 *
 * @param scheduler - the state
 * @param waiting - the jobs with work left
 * @returns shares by organisation
 * @example
 * listShares(scheduler, waiting).get('north')?.isExceeded;
 */
export function listShares(scheduler: Scheduler, waiting: readonly WaitingJob[]): Map<string, Share> {
	const withWork = new Set(waiting.filter(({waitingWork, assignedWork}) => waitingWork + assignedWork > 0).map(({organisation}) => organisation));
	const active = scheduler.configuration.organisations.filter(({name, weight}) => weight > 0 && withWork.has(name));
	const shares = new Map<string, Share>();
	if (active.length < 2) {
		return shares;
	}

	let totalWeight = 0;
	for (const {weight} of active) {
		totalWeight += weight;
	}

	let capacity = 0;
	for (const {listing} of scheduler.workers.values()) {
		capacity += listing?.capacity.cpuMillis ?? 0;
	}

	for (const {name, weight} of active) {
		const fraction = weight / totalWeight;
		const used = scheduler.usedByOrganisation.get(name)?.cpuMillis ?? 0;
		shares.set(name, {fraction, isExceeded: used > fraction * capacity});
	}

	return shares;
}
