import {type TraceLine, type TraceLineOf, type Violation} from './trace-line.js';

/** Time within which a withdrawal has to take effect. */
const withdrawalLimitMs = 3000;

/** Time to live of a task lease: tasks of an instance that ended are stopped after it. */
const taskLeaseMs = 6000;

/** What the audit knows while it reads the lines in order of time. */
type Audit = {
	readonly violations: Violation[];
	readonly revisions: Map<string, number>;
	/** When a zone was first seen withdrawn by any instance, while it is. */
	readonly withdrawnSince: Map<string, number>;
	/** When a key was first seen missing by any instance, while it is. */
	readonly revokedSince: Map<string, number>;
	readonly knownKeys: Set<string>;
	highestRevision: number;
	/** Limits in force; the higher of the last two while a change spreads. */
	readonly limits: Map<string, {limit: number; previous: number; since: number}>;
	/** Requests of which an attempt may have run. */
	readonly mayHaveRun: Set<string>;
	readonly lastSeen: Map<string, number>;
	readonly idempotentStarts: Map<string, string>;
	readonly open: Map<string, {name: string; team: string; requestId: string}>;
	readonly running: Map<string, number>;
	readonly answered: Set<string>;
};

function report(audit: Audit, promise: string, at: number, detail: string): void {
	audit.violations.push({promise, at, detail});
}

function updateWithdrawals(audit: Audit, line: TraceLineOf<'trace-configuration'>): void {
	for (const zone of line.withdrawn) {
		if (!audit.withdrawnSince.has(zone)) {
			audit.withdrawnSince.set(zone, line.at);
		}
	}

	for (const zone of audit.withdrawnSince.keys()) {
		if (!line.withdrawn.includes(zone)) {
			audit.withdrawnSince.delete(zone);
		}
	}

	const keys = new Set(line.keys.map(([hash]) => hash));
	for (const key of audit.knownKeys) {
		if (keys.has(key)) {
			audit.revokedSince.delete(key);
		} else if (!audit.revokedSince.has(key)) {
			audit.revokedSince.set(key, line.at);
		}
	}

	for (const key of keys) {
		audit.knownKeys.add(key);
	}
}

function endAttempt(audit: Audit, attemptId: string): void {
	const open = audit.open.get(attemptId);
	if (open !== undefined) {
		audit.open.delete(attemptId);
		audit.running.set(open.team, (audit.running.get(open.team) ?? 1) - 1);
	}
}

/** Ends the attempts of instances that have been silent for longer than a task lease. */
function expireAttempts(audit: Audit, now: number): void {
	for (const [attemptId, {name}] of audit.open) {
		if (now - (audit.lastSeen.get(name) ?? now) > taskLeaseMs) {
			endAttempt(audit, attemptId);
		}
	}
}

function checkLimit(audit: Audit, line: TraceLineOf<'trace-started'>): void {
	const running = (audit.running.get(line.team) ?? 0) + 1;
	audit.running.set(line.team, running);
	const limit = audit.limits.get(line.team);
	if (limit === undefined) {
		return;
	}

	const allowed = line.at - limit.since <= withdrawalLimitMs ? Math.max(limit.limit, limit.previous) : limit.limit;
	if (running > allowed) {
		report(audit, 'P4', line.at, `team ${line.team} has ${running} running, its upper limit is ${allowed}`);
	}
}

function checkRepetition(audit: Audit, line: TraceLineOf<'trace-started'>): void {
	if (line.repeatable) {
		return;
	}

	if (audit.mayHaveRun.has(line.requestId)) {
		report(audit, 'P8', line.at, `${line.requestId} started again after an attempt that may have run`);
	}

	if (line.idempotencyKey !== undefined) {
		const key = `${line.team}/${line.idempotencyKey}`;
		const other = audit.idempotentStarts.get(key);
		if (other !== undefined && other !== line.requestId) {
			report(audit, 'P8', line.at, `${line.requestId} and ${other} both started with idempotency key ${line.idempotencyKey}`);
		}

		audit.idempotentStarts.set(key, line.requestId);
	}
}

type Checker<Event extends TraceLine['event']> = (audit: Audit, line: TraceLineOf<Event>) => void;

const checkers: {readonly [Event in TraceLine['event']]: Checker<Event>} = {
	'trace-configuration'(audit, line) {
		const previous = audit.revisions.get(line.name) ?? -1;
		if (line.revision < previous) {
			report(audit, 'P11', line.at, `${line.name} went from revision ${previous} back to ${line.revision}`);
		}

		audit.revisions.set(line.name, line.revision);
		if (line.revision < audit.highestRevision) {
			return;
		}

		audit.highestRevision = line.revision;
		for (const [team, limit] of Object.entries(line.limits)) {
			const known = audit.limits.get(team);
			if (known?.limit !== limit) {
				audit.limits.set(team, {limit, previous: known?.limit ?? limit, since: line.at});
			}
		}

		updateWithdrawals(audit, line);
	},
	'trace-admitted'(audit, line) {
		const since = line.key === undefined ? undefined : audit.revokedSince.get(line.key);
		if (since !== undefined && line.at - since > withdrawalLimitMs) {
			report(audit, 'P3', line.at, `${line.name} admitted request ${line.requestId} with a key revoked ${Math.round(line.at - since)} ms before`);
		}
	},
	'trace-started'(audit, line) {
		const since = line.zone === undefined ? undefined : audit.withdrawnSince.get(line.zone);
		if (since !== undefined && line.at - since > withdrawalLimitMs) {
			report(audit, 'P5', line.at, `${line.attemptId} started in ${line.zone} withdrawn ${Math.round(line.at - since)} ms before`);
		}

		checkRepetition(audit, line);
		checkLimit(audit, line);
		audit.open.set(line.attemptId, {name: line.name, team: line.team, requestId: line.requestId});
	},
	'trace-ended'(audit, line) {
		endAttempt(audit, line.attemptId);
		if (line.outcome !== 'not-started') {
			audit.mayHaveRun.add(line.requestId);
		}
	},
	'trace-refused'(audit, line) {
		const running = [...audit.open.values()].some(({requestId}) => requestId === line.requestId);
		if (line.execution === 'not run' && (running || audit.mayHaveRun.has(line.requestId))) {
			report(audit, 'P7', line.at, `${line.requestId} was refused as not run after an attempt that may have run`);
		}
	},
	'trace-answered'(audit, line) {
		if (audit.answered.has(line.requestId)) {
			report(audit, 'P6', line.at, `${line.requestId} was answered twice`);
		}

		audit.answered.add(line.requestId);
	},
};

/**
 * Checks the traces of several instances against the promises. An instance that has been silent for
 * longer than a task lease is taken to have ended, so that a violation may be missed but none is made up.
 *
 * @param lines - the trace lines of all instances, in any order
 * @returns the violations in order of time
 * @example
 * for (const {promise, detail} of findViolations(lines)) console.error(promise, detail);
 */
export function findViolations(lines: readonly TraceLine[]): Violation[] {
	const audit: Audit = {
		violations: [],
		revisions: new Map(),
		withdrawnSince: new Map(),
		revokedSince: new Map(),
		knownKeys: new Set(),
		highestRevision: -1,
		limits: new Map(),
		mayHaveRun: new Set(),
		lastSeen: new Map(),
		idempotentStarts: new Map(),
		open: new Map(),
		running: new Map(),
		answered: new Set(),
	};
	for (const line of lines.toSorted((a, b) => a.at - b.at)) {
		audit.lastSeen.set(line.name, line.at);
		expireAttempts(audit, line.at);
		(checkers[line.event] as Checker<TraceLine['event']>)(audit, line);
	}

	return audit.violations;
}
