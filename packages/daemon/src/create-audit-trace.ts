import {type Effect, type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Event} from '@rosemaryquay/core/node/event';
import {type Node} from '@rosemaryquay/core/node/node';
import {type Logger} from './create-logger.js';
import {type LogEvent} from './log-events.js';

/**
 * Writes the log events from which `rosemaryquay audit` checks the guarantees of the system: among others limits, revoked keys,
 * withdrawn availability zones and double runs (see `Violation` in the package of the command line).
 */
export type AuditTrace = {
	/** Call it before the reducer handles the event, which removes a finished attempt from the state. */
	recordEvent(node: Node, event: Event): void;
	/** Call it with each effect of the event, after the reducer has handled it. Also records a configuration that has come into force. */
	recordEffect(node: Node, event: Event, effect: Effect): void;
};

/** Number of hexadecimal digits of a key's hash that identify the key in the trace. */
const keyHashPrefixLength = 16;

/** Converts a time on the monotonic clock of the process to wall-clock time. */
function toWallClockMs(at: number): number {
	return performance.timeOrigin + at;
}

function describeConfiguration(snapshot: Node['snapshot']): Record<string, unknown> {
	const {teams, zones} = snapshot.catalogue;
	return {
		revision: snapshot.revision,
		limits: Object.fromEntries(Object.entries(teams).map(([name, team]) => [name, team.limits.running])),
		keys: [...snapshot.teamByKeyHash].map(([hash, team]) => [hash.slice(0, keyHashPrefixLength), team]),
		withdrawn: Object.entries(zones).filter(([, zone]) => zone.withdrawn).map(([name]) => name),
	};
}

type TraceEntry = readonly [LogEvent, Record<string, unknown>];

type EffectTracer<Type extends Effect['type']> = (node: Node, event: Event, effect: EffectOf<Type>) => TraceEntry | undefined;

const effectTracers: {readonly [Type in Effect['type']]?: EffectTracer<Type>} = {
	'start-attempt'(node, _event, {attemptId, taskId, workerId}) {
		const task = node.tasks.byId.get(taskId);
		const zone = node.placement.workers.get(workerId)?.instance.zone;
		return ['trace-started', {
			attemptId, requestId: taskId, workerId, zone, team: task?.team, repeatable: task?.repeatable, idempotencyKey: task?.idempotencyKey,
		}];
	},
	refuse(_node, _event, {taskId, refusal}) {
		return ['trace-refused', {requestId: taskId, ...refusal}];
	},
	answer(_node, _event, {taskId, attemptId}) {
		return ['trace-answered', {requestId: taskId, attemptId}];
	},
	count(_node, event, {counter}) {
		// No effect of its own reports an admission; the reducer counts it.
		if (counter !== 'request.accepted' || event.type !== 'request-arrived') {
			return undefined;
		}

		return ['trace-admitted', {requestId: event.arrival.id, key: event.arrival.keyHash?.slice(0, keyHashPrefixLength)}];
	},
};

/**
 * Creates the audit trace.
 *
 * @param logger - logger that writes the events
 * @returns the trace
 * @example
 * const trace = createAuditTrace(logger);
 */
export function createAuditTrace(logger: Logger): AuditTrace {
	let tracedRevision = 0;
	return {
		recordEvent(node, event) {
			const attempt = event.type === 'attempt-finished' ? node.tasks.attempts.get(event.attemptId) : undefined;
			if (event.type === 'attempt-finished' && attempt !== undefined) {
				logger.log('trace-ended', {
					at: toWallClockMs(event.at), attemptId: event.attemptId, requestId: attempt.taskId, outcome: event.outcome.type,
				});
			}
		},
		recordEffect(node, event, effect) {
			const at = toWallClockMs(event.at);
			if (node.snapshot.revision !== tracedRevision) {
				tracedRevision = node.snapshot.revision;
				logger.log('trace-configuration', {at, ...describeConfiguration(node.snapshot)});
			}

			const entry = (effectTracers[effect.type] as EffectTracer<Effect['type']> | undefined)?.(node, event, effect);
			if (entry !== undefined) {
				logger.log(entry[0], {at, ...entry[1]});
			}
		},
	};
}
