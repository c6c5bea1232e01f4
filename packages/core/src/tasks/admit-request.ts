import {type Effect} from '../node/effect.js';
import {type Arrival, type EventOf} from '../node/event.js';
import {type Node, type Task} from '../node/node.js';
import {type Queue} from '../catalogue/schema.js';
import {isFresh} from '../freshness/is-fresh.js';
import {type Reason} from '../refusal.js';
import {willWaitPastDeadline} from '../shares/will-wait-past-deadline.js';
import {beginClaim} from '../deduplication/begin-claim.js';
import {isParked} from '../retries/is-parked.js';
import {listFailedWorkers} from '../retries/list-failed-workers.js';
import {enqueueAndDispatch} from './enqueue-and-dispatch.js';
import {createRefusal} from './create-refusal.js';

type Admission = {readonly ok: true; readonly queue: Queue; readonly team: string} | {readonly ok: false; readonly reason: Reason};

function findTeam(node: Node, queue: Queue, keyHash: string | undefined): {ok: true; team: string} | {ok: false; reason: Reason} {
	const team = keyHash === undefined ? undefined : node.snapshot.teamByKeyHash.get(keyHash);
	if (team !== undefined) {
		return {ok: true, team};
	}

	if (queue.open && queue.team !== undefined) {
		return {ok: true, team: queue.team};
	}

	return {ok: false, reason: keyHash === undefined ? 'key-missing' : 'key-unknown'};
}

function checkArrival(node: Node, arrival: Arrival, at: number): Admission {
	if (node.tasks.shuttingDown) {
		return {ok: false, reason: 'shutting-down'};
	}

	if (!isFresh(node, at)) {
		return {ok: false, reason: 'configuration-stale'};
	}

	const queue = Object.hasOwn(node.snapshot.catalogue.queues, arrival.queue) ? node.snapshot.catalogue.queues[arrival.queue] : undefined;
	if (queue === undefined) {
		return {ok: false, reason: 'queue-unknown'};
	}

	const found = findTeam(node, queue, arrival.keyHash);
	if (!found.ok) {
		return found;
	}

	return arrival.bodyBytes > queue.limits.bodyBytes ? {ok: false, reason: 'body-too-large'} : {ok: true, queue, team: found.team};
}

function createTask(node: Node, event: EventOf<'request-arrived'>, admission: Admission & {ok: true}, pool: string): Task {
	const {arrival, at} = event;
	const {queue, team} = admission;
	return {
		id: arrival.id,
		queue: arrival.queue,
		team,
		pool,
		class: queue.class,
		repeatable: queue.repeatable,
		...(arrival.idempotencyKey !== undefined && {idempotencyKey: arrival.idempotencyKey}),
		...(arrival.fingerprint !== undefined && {fingerprint: arrival.fingerprint}),
		arrivedAt: at,
		deadlineAt: at + Math.min(arrival.deadlineMs ?? queue.limits.deadlineMs, queue.limits.deadlineMs),
		state: 'waiting',
		countedAttempts: 0,
		ranMs: 0,
		uncountedAttempts: 0,
		attemptsUnstarted: 0,
		mayHaveRun: false,
		mayBeClaimed: false,
		callerSettled: false,
		failedWorkers: listFailedWorkers(node, arrival),
	};
}

/**
 * Admits a request: checks the configuration, the queue, the API key and the body size, claims the
 * idempotency key, queues a task and starts it if possible.
 *
 * @param node - the node, updated in place
 * @param event - the arrival
 * @returns a refusal, or the effects of starting work in the task's pool
 * @example
 * admitRequest(node, {type: 'request-arrived', at: 0, arrival});
 */
export function admitRequest(node: Node, event: EventOf<'request-arrived'>): Effect[] {
	const {arrival, at} = event;
	const admission = checkArrival(node, arrival, at);
	if (!admission.ok) {
		return [createRefusal(arrival.id, admission.reason)];
	}

	const pool = node.snapshot.catalogue.services[admission.queue.service]?.pool;
	if (pool === undefined) {
		return [createRefusal(arrival.id, 'no-worker-available')];
	}

	const task = createTask(node, event, admission, pool);
	if (isParked(node, task, at)) {
		return [createRefusal(arrival.id, 'request-parked')];
	}

	if (willWaitPastDeadline(node, task, at)) {
		return [createRefusal(arrival.id, 'deadline-exceeded')];
	}

	node.tasks.byId.set(task.id, task);
	return task.idempotencyKey === undefined ? enqueueAndDispatch(node, task, at) : beginClaim(node, task, at);
}
