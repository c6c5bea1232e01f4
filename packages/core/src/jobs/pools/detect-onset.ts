/** Arrival of a job: local time in milliseconds, and its work in thousandths of a core times milliseconds. */
export type Arrival = {readonly at: number; readonly work: number};

/** Latest arrivals that are compared with the quiet rate; fewer are chance too often, more delay the first step of a burst. */
const minimumArrivals = 3;
const maximumArrivals = 6;

/** Probability below which arrivals are not explained by the quiet rate; a false start costs the moves of a burst. */
const maximumChance = 0.002;

/** Shortest time over which the work of arrivals is averaged; below it, the measured rate is mostly chance. */
const minimumSpanMs = 150;

/**
 * Detects the start of a burst from the times of the latest arrivals, before their demand averaged over a window shows it.
 *
 * @param arrivals - recent arrivals
 * @param quiet - arrivals per millisecond outside of bursts, and the local time in milliseconds
 * @returns the demand of the arrivals in thousandths of a core; 0 if the quiet rate explains them
 * @example
 * detectOnset([{at: 0, work: 1}, {at: 30, work: 1}, {at: 50, work: 1}, {at: 60, work: 1}], {quietRate: 0.0005, now: 80});
 */
export function detectOnset(arrivals: readonly Arrival[], {quietRate, now}: {quietRate: number; now: number}): number {
	const latest = arrivals.toSorted((left, right) => right.at - left.at).slice(0, maximumArrivals);
	let demand = 0;
	let chance = 1;
	let work = 0;
	for (const [position, arrival] of latest.entries()) {
		const span = Math.max(1, now - arrival.at);
		work += arrival.work;
		chance = (quietRate * span) ** position;
		for (let factor = 2; factor <= position; factor++) {
			chance /= factor;
		}

		if (position + 1 >= minimumArrivals && chance < maximumChance) {
			// The earliest arrival begins the span and does not count towards its rate.
			demand = work * position / (position + 1) / Math.max(minimumSpanMs, span);
		}
	}

	return demand;
}
