import {isStraggler} from './is-straggler.js';

/** A run that may get a duplicate, with times in milliseconds. */
export type Candidate = {
	readonly id: string;
	/** Time from its start to the last report, or to now if its worker is silent. */
	readonly observedMs: number;
	/** Estimated remaining time. */
	readonly remainingMs: number;
	/** Estimated time of a fresh run. */
	readonly freshMs: number;
	/** Cores that a duplicate would reserve, in thousandths. */
	readonly cpuMillis: number;
};

/**
 * Chooses the runs of a service that get a duplicate: those whose remaining time clearly exceeds that of a fresh run, the
 * ones that gain most first, as far as the budget for duplicates goes.
 *
 * @param candidates - confirmed runs of tasks that may have a duplicate and have none
 * @param options - cores that duplicates of the service may still reserve, in thousandths
 * @returns the chosen runs
 * @example
 * chooseStragglers([{id: 'a.0.0.0', observedMs: 500, remainingMs: 2000, freshMs: 500, cpuMillis: 1500}], {budgetMillis: 8000});
 */
export function chooseStragglers<T extends Candidate>(candidates: readonly T[], options: {budgetMillis: number}): T[] {
	let {budgetMillis} = options;
	const chosen: T[] = [];
	const stragglers = candidates
		.filter(candidate => isStraggler(candidate))
		.toSorted((left, right) => (right.remainingMs - right.freshMs) - (left.remainingMs - left.freshMs));
	for (const candidate of stragglers) {
		if (candidate.cpuMillis <= budgetMillis) {
			budgetMillis -= candidate.cpuMillis;
			chosen.push(candidate);
		}
	}

	return chosen;
}
