import {type TraceLine, type TraceLineOf, type Violation} from './trace-line.js';

/** Time within which a withdrawn zone, a revoked key or a changed limit must take effect on every instance. */
const propagationLimitMs = 3000;

/**
 * Time to live of a task lease: tasks of an instance that has ended are stopped once it has not renewed their lease for
 * this long. Equal to `taskLeaseTtlMs` of the daemon; repeated here because the audit shares no code with the daemon.
 */
const taskLeaseMs = 6000;

/** State of the audit while it replays the trace lines in order of time. */
type AuditState = {
	readonly violations: Violation[];
	/** Last revision that each instance has logged. */
	readonly revisionByInstance: Map<string, number>;
	/** Time at which any instance first logged a zone as withdrawn; removed when the zone is restored. */
	readonly zoneWithdrawnAt: Map<string, number>;
	/** Time at which any instance first logged a configuration without a known key; removed when the key is back. */
	readonly keyRevokedAt: Map<string, number>;
	/** Hash prefixes of all keys that a configuration has contained. */
	readonly knownKeys: Set<string>;
	highestRevision: number;
	/** Current upper limit of each team, and the previous one, which instances may still apply until `propagationLimitMs` after the change. */
	readonly limitByTeam: Map<string, {current: number; previous: number; changedAt: number}>;
	/** Requests with an ended attempt that may have run. */
	readonly requestsThatMayHaveRun: Set<string>;
	/** Time of the last trace line of each instance. */
	readonly lastLineAt: Map<string, number>;
	/** Last request that is not repeatable and was started, by team and idempotency key. */
	readonly requestByIdempotencyKey: Map<string, string>;
	/** Attempts that have started and not ended. */
	readonly runningAttempts: Map<string, {instance: string; team: string; requestId: string}>;
	/** Number of running attempts of each team. */
	readonly runningCountByTeam: Map<string, number>;
	readonly answeredRequests: Set<string>;
};

function reportViolation(state: AuditState, promise: string, at: number, detail: string): void {
	state.violations.push({promise, at, detail});
}

/** Records which zones are newly withdrawn and which keys are newly missing, and removes those that are back. */
function updateWithdrawals(state: AuditState, line: TraceLineOf<'trace-configuration'>): void {
	for (const zone of line.withdrawn) {
		if (!state.zoneWithdrawnAt.has(zone)) {
			state.zoneWithdrawnAt.set(zone, line.at);
		}
	}

	for (const zone of state.zoneWithdrawnAt.keys()) {
		if (!line.withdrawn.includes(zone)) {
			state.zoneWithdrawnAt.delete(zone);
		}
	}

	const keys = new Set(line.keys.map(([hash]) => hash));
	for (const key of state.knownKeys) {
		if (keys.has(key)) {
			state.keyRevokedAt.delete(key);
		} else if (!state.keyRevokedAt.has(key)) {
			state.keyRevokedAt.set(key, line.at);
		}
	}

	for (const key of keys) {
		state.knownKeys.add(key);
	}
}

function endAttempt(state: AuditState, attemptId: string): void {
	const attempt = state.runningAttempts.get(attemptId);
	if (attempt !== undefined) {
		state.runningAttempts.delete(attemptId);
		state.runningCountByTeam.set(attempt.team, (state.runningCountByTeam.get(attempt.team) ?? 1) - 1);
	}
}

/** Ends the attempts of instances that have logged no trace line for longer than a task lease. */
function endExpiredAttempts(state: AuditState, now: number): void {
	for (const [attemptId, {instance}] of state.runningAttempts) {
		if (now - (state.lastLineAt.get(instance) ?? now) > taskLeaseMs) {
			endAttempt(state, attemptId);
		}
	}
}

/** Counts a started attempt as running and checks the upper limit of its team. */
function countAndCheckLimit(state: AuditState, line: TraceLineOf<'trace-started'>): void {
	const running = (state.runningCountByTeam.get(line.team) ?? 0) + 1;
	state.runningCountByTeam.set(line.team, running);
	const limit = state.limitByTeam.get(line.team);
	if (limit === undefined) {
		return;
	}

	const allowed = line.at - limit.changedAt <= propagationLimitMs ? Math.max(limit.current, limit.previous) : limit.current;
	if (running > allowed) {
		reportViolation(state, 'P4', line.at, `team ${line.team} has ${running} running, its upper limit is ${allowed}`);
	}
}

/**
 * Checks that a request that is not repeatable is not started again after an attempt that may have run, and that no two
 * such requests are started under one idempotency key.
 */
function checkRepeatedStart(state: AuditState, line: TraceLineOf<'trace-started'>): void {
	if (line.repeatable) {
		return;
	}

	if (state.requestsThatMayHaveRun.has(line.requestId)) {
		reportViolation(state, 'P8', line.at, `${line.requestId} started again after an attempt that may have run`);
	}

	if (line.idempotencyKey !== undefined) {
		const key = `${line.team}/${line.idempotencyKey}`;
		const other = state.requestByIdempotencyKey.get(key);
		if (other !== undefined && other !== line.requestId) {
			reportViolation(state, 'P8', line.at, `${line.requestId} and ${other} both started with idempotency key ${line.idempotencyKey}`);
		}

		state.requestByIdempotencyKey.set(key, line.requestId);
	}
}

type LineHandler<Event extends TraceLine['event']> = (state: AuditState, line: TraceLineOf<Event>) => void;

/** For each event: checks a line against the promises, and records what the checks of later lines need. */
const lineHandlers: {readonly [Event in TraceLine['event']]: LineHandler<Event>} = {
	'trace-configuration'(state, line) {
		const previousRevision = state.revisionByInstance.get(line.name) ?? -1;
		if (line.revision < previousRevision) {
			reportViolation(state, 'P11', line.at, `${line.name} went from revision ${previousRevision} back to ${line.revision}`);
		}

		state.revisionByInstance.set(line.name, line.revision);
		// An instance that applies an older revision does not change what is in force.
		if (line.revision < state.highestRevision) {
			return;
		}

		state.highestRevision = line.revision;
		for (const [team, limit] of Object.entries(line.limits)) {
			const known = state.limitByTeam.get(team);
			if (known?.current !== limit) {
				state.limitByTeam.set(team, {current: limit, previous: known?.current ?? limit, changedAt: line.at});
			}
		}

		updateWithdrawals(state, line);
	},
	'trace-admitted'(state, line) {
		const revokedAt = line.key === undefined ? undefined : state.keyRevokedAt.get(line.key);
		if (revokedAt !== undefined && line.at - revokedAt > propagationLimitMs) {
			reportViolation(state, 'P3', line.at, `${line.name} admitted request ${line.requestId} with a key revoked ${Math.round(line.at - revokedAt)} ms before`);
		}
	},
	'trace-started'(state, line) {
		const withdrawnAt = line.zone === undefined ? undefined : state.zoneWithdrawnAt.get(line.zone);
		if (withdrawnAt !== undefined && line.at - withdrawnAt > propagationLimitMs) {
			reportViolation(state, 'P5', line.at, `${line.attemptId} started in ${line.zone} withdrawn ${Math.round(line.at - withdrawnAt)} ms before`);
		}

		checkRepeatedStart(state, line);
		countAndCheckLimit(state, line);
		state.runningAttempts.set(line.attemptId, {instance: line.name, team: line.team, requestId: line.requestId});
	},
	'trace-ended'(state, line) {
		endAttempt(state, line.attemptId);
		if (line.outcome !== 'not-started') {
			state.requestsThatMayHaveRun.add(line.requestId);
		}
	},
	'trace-refused'(state, line) {
		const isRunning = [...state.runningAttempts.values()].some(({requestId}) => requestId === line.requestId);
		if (line.execution === 'not run' && (isRunning || state.requestsThatMayHaveRun.has(line.requestId))) {
			reportViolation(state, 'P7', line.at, `${line.requestId} was refused as not run after an attempt that may have run`);
		}
	},
	'trace-answered'(state, line) {
		if (state.answeredRequests.has(line.requestId)) {
			reportViolation(state, 'P6', line.at, `${line.requestId} was answered twice`);
		}

		state.answeredRequests.add(line.requestId);
	},
};

/**
 * Checks the traces of several instances against the system's promises (see `Violation`). The attempts of an instance
 * that has logged nothing for longer than a task lease count as ended: the audit may miss a violation, but it reports none
 * that did not occur.
 *
 * @param lines - the trace lines of all instances, in any order
 * @returns the violations in order of time
 * @example
 * for (const {promise, detail} of findViolations(lines)) console.error(promise, detail);
 */
export function findViolations(lines: readonly TraceLine[]): Violation[] {
	const state: AuditState = {
		violations: [],
		revisionByInstance: new Map(),
		zoneWithdrawnAt: new Map(),
		keyRevokedAt: new Map(),
		knownKeys: new Set(),
		highestRevision: -1,
		limitByTeam: new Map(),
		requestsThatMayHaveRun: new Set(),
		lastLineAt: new Map(),
		requestByIdempotencyKey: new Map(),
		runningAttempts: new Map(),
		runningCountByTeam: new Map(),
		answeredRequests: new Set(),
	};
	for (const line of lines.toSorted((a, b) => a.at - b.at)) {
		state.lastLineAt.set(line.name, line.at);
		endExpiredAttempts(state, line.at);
		(lineHandlers[line.event] as LineHandler<TraceLine['event']>)(state, line);
	}

	return state.violations;
}
