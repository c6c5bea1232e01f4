import {
	checkpointWaitMs, creditDebtHorizonMs, preemptionQuantumMs, preemptionRetryMs, throttleMs, urgentGraceMs,
} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Attempt, type Node, type Task} from '../node/node.js';
import {expectRunTime} from './expect-run-time.js';
import {mayStart} from './may-start.js';
import {planShares} from './plan-shares.js';
import {type PoolShares} from './shares.js';

type Running = {readonly attempt: Attempt; readonly task: Task};

/** Bulk attempts by pool, newest first: those have the most work left. */
function listBulk(node: Node): Map<string, Running[]> {
	const byPool = new Map<string, Running[]>();
	for (const attempt of node.tasks.attempts.values()) {
		const task = node.tasks.byId.get(attempt.taskId);
		if (task?.class === 'bulk') {
			const running = byPool.get(task.pool) ?? [];
			running.push({attempt, task});
			byPool.set(task.pool, running);
		}
	}

	for (const running of byPool.values()) {
		running.reverse();
	}

	return byPool;
}

function isPending(attempt: Attempt, at: number): boolean {
	return attempt.preemptedAt !== undefined && at - attempt.preemptedAt < preemptionRetryMs;
}

function checkpoint(attempt: Attempt, at: number): Effect {
	attempt.preemptedAt = at;
	return {type: 'checkpoint-attempt', attemptId: attempt.id, workerId: attempt.workerId};
}

/** Counts waiting urgent tasks that the shares let start, by team. */
function countBlockedUrgent(node: Node, pool: PoolShares, at: number): Map<string, number> {
	const blocked = new Map<string, number>();
	for (const flow of pool.flows.values()) {
		const oldest = flow.class === 'urgent' ? flow.tasks[0] : undefined;
		const account = pool.accounts.get(flow.team);
		if (oldest === undefined || account === undefined || at - oldest.arrivedAt < urgentGraceMs) {
			continue;
		}

		if (mayStart(pool, flow.team, 'urgent')) {
			const room = pool.full && !account.urgentWithin ? Math.ceil(account.part) - account.running : flow.tasks.length;
			blocked.set(flow.team, Math.max(0, Math.min(flow.tasks.length, room)));
		}
	}

	return blocked;
}

/** Frees slots for waiting urgent tasks; their own team's bulk tasks go first. */
function freeForUrgent(node: Node, pool: PoolShares, running: readonly Running[], at: number): Effect[] {
	const effects: Effect[] = [];
	const pending = running.filter(({attempt}) => isPending(attempt, at)).length;
	let needed = -pending;
	const blocked = countBlockedUrgent(node, pool, at);
	for (const count of blocked.values()) {
		needed += count;
	}

	const free = running.filter(({attempt}) => !isPending(attempt, at)).toSorted((a, b) => Number(blocked.has(b.task.team)) - Number(blocked.has(a.task.team)));
	for (const {attempt} of free) {
		if (needed <= 0) {
			return effects;
		}

		needed -= 1;
		if (at - attempt.startedAt >= preemptionQuantumMs) {
			effects.push(checkpoint(attempt, at), {type: 'count', counter: 'task.checkpoint-urgent'});
		} else {
			// A task that has just begun would be checkpointed again and again without progress.
			attempt.preemptedAt = at;
			effects.push({
				type: 'throttle-attempt', attemptId: attempt.id, workerId: attempt.workerId, durationMs: throttleMs,
			}, {type: 'count', counter: 'task.throttled'});
		}
	}

	return effects;
}

/** Tells whether a task can wait and run once more before its deadline; otherwise its progress would be lost. */
function canWait(node: Node, task: Task, at: number): boolean {
	return task.deadlineAt - at > expectRunTime(node, task) + checkpointWaitMs;
}

/** Ends bulk attempts of teams above their part, so that teams below theirs do not wait for long tasks. */
function returnExcess(node: Node, pool: PoolShares, {running, at}: {running: readonly Running[]; at: number}): Effect[] {
	const effects: Effect[] = [];
	const excess = new Map<string, number>();
	for (const [team, account] of pool.accounts) {
		excess.set(team, account.running - account.part - 1 - (Math.min(account.credit, 0) / creditDebtHorizonMs));
	}

	for (const {attempt, task} of running) {
		const over = excess.get(task.team) ?? 0;
		if (over <= 0) {
			continue;
		}

		if (isPending(attempt, at)) {
			excess.set(task.team, over - 1);
		} else if (at - attempt.startedAt >= preemptionQuantumMs && canWait(node, task, at)) {
			excess.set(task.team, over - 1);
			effects.push(checkpoint(attempt, at), {type: 'count', counter: 'task.checkpoint-share'});
		}
	}

	return effects;
}

/**
 * Checkpoints or throttles bulk tasks where urgent work would miss its start time, and where a
 * team holds more of a full pool than its share.
 *
 * @param node - the node, updated in place
 * @param event - the tick
 * @returns a `checkpoint-attempt` or `throttle-attempt` for each chosen attempt
 * @example
 * preemptBulk(node, {type: 'tick', at: 100});
 */
export function preemptBulk(node: Node, event: EventOf<'tick'>): Effect[] {
	const effects: Effect[] = [];
	for (const [name, running] of listBulk(node)) {
		const pool = node.shares.pools.get(name);
		if (pool === undefined) {
			continue;
		}

		planShares(node, name, event.at);
		effects.push(...freeForUrgent(node, pool, running, event.at));
		if (pool.full) {
			effects.push(...returnExcess(node, pool, {running, at: event.at}));
		}
	}

	return effects;
}
