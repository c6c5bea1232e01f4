import {type FleetEvent} from '@rosemaryquay/testing/jobs/fleet-event';
import {checkAnswers} from './check-answers.js';
import {checkLateStarts} from './check-late-starts.js';
import {checkProcesses} from './check-processes.js';
import {checkRuns} from './check-runs.js';
import {type Violation} from './violation.js';

/** Order of events with the same time: what ends comes before what starts, since the programs learn of an end before they act on it. */
const ranks: Partial<Record<FleetEvent['type'], number>> = {
	submitted: 0, 'worker-crashed': 1, ended: 1, 'worker-started': 2, started: 3,
};
const otherRank = 4;

/**
 * Checks what was seen of the programs from outside against their promises. It shares no code with the decisions.
 *
 * @param events - events of all processes, in any order
 * @returns the violations in the order of their time
 * @example
 * checkEvents(events).length === 0;
 */
export function checkEvents(events: readonly FleetEvent[]): Violation[] {
	const ordered = events.toSorted((a, b) => a.at - b.at || (ranks[a.type] ?? otherRank) - (ranks[b.type] ?? otherRank));
	const violations = [...checkRuns(ordered), ...checkLateStarts(ordered), ...checkAnswers(ordered), ...checkProcesses(ordered)];
	return violations.toSorted((a, b) => a.at - b.at);
}
