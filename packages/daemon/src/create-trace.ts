import {type Effect, type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Event} from '@rosemaryquay/core/node/event';
import {type Node} from '@rosemaryquay/core/node/node';
import {type Logger} from './create-logger.js';
import {type LogEvent} from './log-events.js';

/** Writes what `rosemaryquay audit` needs to check the promises. */
export type Trace = {
	/** Called before the reducer handles an event. */
	before(node: Node, event: Event): void;
	/** Called with each effect of the event. */
	effect(node: Node, event: Event, effect: Effect): void;
};

/** Hexadecimal digits of a key's hash that tell keys apart in a trace. */
const keyHashPrefixLength = 16;

/** Wall-clock time in milliseconds that agrees with the monotonic clock of the process. */
function wallClock(at: number): number {
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

type Line = readonly [LogEvent, Record<string, unknown>];

type Tracer<Type extends Effect['type']> = (node: Node, event: Event, effect: EffectOf<Type>) => Line | undefined;

const tracers: {readonly [Type in Effect['type']]?: Tracer<Type>} = {
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
		if (counter !== 'request.accepted' || event.type !== 'request-arrived') {
			return undefined;
		}

		return ['trace-admitted', {requestId: event.arrival.id, key: event.arrival.keyHash?.slice(0, keyHashPrefixLength)}];
	},
};

/**
 * Creates the writer of the audit trace.
 *
 * @param logger - where the events go
 * @returns the trace
 * @example
 * const trace = createTrace(logger);
 */
export function createTrace(logger: Logger): Trace {
	let revision = 0;
	return {
		before(node, event) {
			const attempt = event.type === 'attempt-finished' ? node.tasks.attempts.get(event.attemptId) : undefined;
			if (event.type === 'attempt-finished' && attempt !== undefined) {
				logger.log('trace-ended', {
					at: wallClock(event.at), attemptId: event.attemptId, requestId: attempt.taskId, outcome: event.outcome.type,
				});
			}
		},
		effect(node, event, effect) {
			const at = wallClock(event.at);
			if (node.snapshot.revision !== revision) {
				revision = node.snapshot.revision;
				logger.log('trace-configuration', {at, ...describeConfiguration(node.snapshot)});
			}

			const line = (tracers[effect.type] as Tracer<Effect['type']> | undefined)?.(node, event, effect);
			if (line !== undefined) {
				logger.log(line[0], {at, ...line[1]});
			}
		},
	};
}
