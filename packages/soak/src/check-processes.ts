import {type FleetEvent} from '@rosemaryquay/testing/jobs/fleet-event';
import {type Violation} from './violation.js';

/** Time within which a process must exit after SIGTERM, not counting the time for which it was paused. */
const exitMs = 6000;

/** Memory of a process at most: three times that of a busy process of the largest bench day (57.5 MB), with room for the runtime. */
const maximumMemoryBytes = 250_000_000;

/** Time after its return to the store's list within which a worker must be in use again. */
const reuseMs = 2000;

/** Kinds of faults under which the entries of workers expire. */
const storeOutages = new Set(['store-silent', 'store-refuses']);

/** Status with which a worker confirms that it accepted the fencing token of a call. */
const acceptedStatus = 200;

/** What a process was asked since it started. */
type SignalHistory = {terminations: number; terminatedAt: number | undefined; wasKilled: boolean; pausedAt: number | undefined; pausedMs: number};

const noteSignals: Readonly<Record<string, (history: SignalHistory, at: number) => void>> = {
	/* eslint-disable @typescript-eslint/naming-convention -- names of signals */
	SIGTERM(history, at) {
		history.terminations++;
		history.terminatedAt ??= at;
	},
	SIGKILL(history) {
		history.wasKilled = true;
	},
	SIGSTOP(history, at) {
		history.pausedAt ??= at;
	},
	SIGCONT: endPause,
	/* eslint-enable @typescript-eslint/naming-convention */
};

/**
 * Checks the processes: exits, errors, memory, fencing tokens, and how soon workers are in use again after an outage of the store.
 *
 * @param events - all events of a run, in the order of their time
 * @returns the violations
 * @example
 * checkProcesses(events);
 */
export function checkProcesses(events: readonly FleetEvent[]): Violation[] {
	return [checkExits, checkErrors, checkMemory, checkFences, checkReuse].flatMap(check => check(events));
}

function checkExits(events: readonly FleetEvent[]): Violation[] {
	const violations: Violation[] = [];
	const histories = new Map<string, SignalHistory>();
	for (const event of events) {
		if (event.type === 'signalled') {
			const history = histories.get(event.process) ?? createHistory();
			histories.set(event.process, history);
			noteSignals[event.signal]?.(history, event.at);
		} else if (event.type === 'exited') {
			violations.push(...checkExit(event, histories.get(event.process) ?? createHistory()));
			histories.delete(event.process);
		}
	}

	return violations;
}

/** Counts the part of a pause that lies after SIGTERM. */
function endPause(history: SignalHistory, at: number): void {
	const {pausedAt, terminatedAt} = history;
	if (pausedAt !== undefined && terminatedAt !== undefined) {
		history.pausedMs += at - Math.max(pausedAt, terminatedAt);
	}

	history.pausedAt = undefined;
}

function createHistory(): SignalHistory {
	return {
		terminations: 0, terminatedAt: undefined, wasKilled: false, pausedAt: undefined, pausedMs: 0,
	};
}

function checkExit(event: Extract<FleetEvent, {type: 'exited'}>, history: SignalHistory): Violation[] {
	const {at, process, code, signal} = event;
	endPause(history, at);
	const {terminations, terminatedAt, wasKilled, pausedMs} = history;
	const tookMs = at - (terminatedAt ?? at) - pausedMs;
	const violations: Violation[] = [];
	if (tookMs > exitMs) {
		violations.push({rule: 'slow-exit', at, text: `${process} exited ${tookMs} ms after SIGTERM`});
	}

	const isAsAsked = wasKilled || (terminations > 0 && code === 0);
	if (!isAsAsked) {
		const how = signal === '' ? `code ${code}` : `signal ${signal}`;
		violations.push({rule: 'unexpected-exit', at, text: `${process} exited with ${how} after ${terminations} times SIGTERM`});
	}

	return violations;
}

function checkErrors(events: readonly FleetEvent[]): Violation[] {
	return events.filter(event => event.type === 'error-logged').map(({at, process, text}) => ({rule: 'error', at, text: `${process}: ${text}`}));
}

function checkMemory(events: readonly FleetEvent[]): Violation[] {
	return events.filter(event => event.type === 'memory').filter(({bytes}) => bytes > maximumMemoryBytes).map(({at, process, bytes}) => ({rule: 'memory', at, text: `${process} uses ${bytes} bytes`}));
}

function checkFences(events: readonly FleetEvent[]): Violation[] {
	const violations: Violation[] = [];
	const highest = new Map<string, number>();
	let elected = 0;
	for (const event of events) {
		if (event.type === 'worker-started') {
			// A new incarnation of a worker knows no token yet, and a late order of a former owner may be its first.
			highest.delete(event.worker);
		} else if (event.type === 'ordered' && event.status === acceptedStatus) {
			const known = highest.get(event.worker) ?? 0;
			if (event.fence < known) {
				violations.push({rule: 'fence', at: event.at, text: `${event.worker} accepted token ${event.fence} after ${known}`});
			}

			highest.set(event.worker, Math.max(known, event.fence));
		} else if (event.type === 'owner-elected') {
			if (event.fence <= elected) {
				violations.push({rule: 'fence', at: event.at, text: `${event.process} was elected with token ${event.fence} after ${elected}`});
			}

			elected = Math.max(elected, event.fence);
		}
	}

	return violations;
}

/** Only workers that return while no other fault is under way, nor was during the outage, are held to the bound. */
function checkReuse(events: readonly FleetEvent[]): Violation[] {
	const faults = listFaults(events);
	const lastAt = events.at(-1)?.at ?? 0;
	return events.flatMap((event, position) => {
		if (event.type !== 'worker-listed' || !event.hadExpired) {
			return [];
		}

		const outage = faults.findLast(({kind, endedAt}) => storeOutages.has(kind) && endedAt <= event.at);
		if (outage === undefined || faults.some(fault => fault !== outage && fault.begunAt < event.at + reuseMs && fault.endedAt > outage.begunAt)) {
			return [];
		}

		const used = events.slice(position).find(later => later.type === 'ordered' && later.worker === event.worker && later.status === acceptedStatus);
		const tookMs = (used?.at ?? lastAt) - event.at;
		const returnedMs = event.at - outage.endedAt;
		return tookMs <= reuseMs ? [] : [{rule: 'reuse', at: event.at, text: `${event.worker} was called ${tookMs} ms after its return to the list, ${returnedMs} ms after the outage`}];
	});
}

function listFaults(events: readonly FleetEvent[]): Array<{kind: string; begunAt: number; endedAt: number}> {
	const endedAt = new Map(events.filter(event => event.type === 'fault-ended').map(({fault, at}) => [fault, at]));
	return events.filter(event => event.type === 'fault-begun').map(({fault, kind, at}) => ({kind, begunAt: at, endedAt: endedAt.get(fault) ?? Number.POSITIVE_INFINITY}));
}
