import {
	checkpointWaitAllowanceMs, preemptionDebtHorizonMs, preemptionQuantumMs, preemptionRetryMs, throttleDurationMs, urgentPreemptionDelayMs,
} from '../constants.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Attempt, type Node, type Task} from '../node/node.js';
import {estimateRunTime} from './estimate-run-time.js';
import {hasShareHeadroom} from './has-share-headroom.js';
import {refreshShares} from './refresh-shares.js';
import {type PoolShares} from './shares.js';

type RunningTask = {readonly attempt: Attempt; readonly task: Task};

/** Lists the bulk attempts by pool, newest first: those have the most work left. */
function listBulk(node: Node): Map<string, RunningTask[]> {
	const byPool = new Map<string, RunningTask[]>();
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

function isPreemptionPending(attempt: Attempt, at: number): boolean {
	return attempt.preemptedAt !== undefined && at - attempt.preemptedAt < preemptionRetryMs;
}

function checkpoint(attempt: Attempt, at: number): Effect {
	attempt.preemptedAt = at;
	return {type: 'checkpoint-attempt', attemptId: attempt.id, workerId: attempt.workerId};
}

/**
 * Counts, by team, the queued urgent tasks whose oldest has waited past the grace period although the shares let it
 * start; for a team with more urgent demand than its share, at most the slots left of its local share.
 */
function countBlockedUrgent(node: Node, pool: PoolShares, at: number): Map<string, number> {
	const blocked = new Map<string, number>();
	for (const flow of pool.flows.values()) {
		const oldest = flow.class === 'urgent' ? flow.tasks[0] : undefined;
		const account = pool.accounts.get(flow.team);
		if (oldest === undefined || account === undefined || at - oldest.arrivedAt < urgentPreemptionDelayMs) {
			continue;
		}

		if (hasShareHeadroom(pool, flow.team, 'urgent')) {
			const room = pool.saturated && !account.urgentWithinShare ? Math.ceil(account.localShare) - account.running : flow.tasks.length;
			blocked.set(flow.team, Math.max(0, Math.min(flow.tasks.length, room)));
		}
	}

	return blocked;
}

/** Checkpoints or throttles bulk tasks to free slots for waiting urgent tasks, first those of the teams that wait. */
function preemptForUrgent(node: Node, pool: PoolShares, running: readonly RunningTask[], at: number): Effect[] {
	const effects: Effect[] = [];
	const pending = running.filter(({attempt}) => isPreemptionPending(attempt, at)).length;
	let needed = -pending;
	const blocked = countBlockedUrgent(node, pool, at);
	for (const count of blocked.values()) {
		needed += count;
	}

	const preemptible = running.filter(({attempt}) => !isPreemptionPending(attempt, at)).toSorted((a, b) => Number(blocked.has(b.task.team)) - Number(blocked.has(a.task.team)));
	for (const {attempt} of preemptible) {
		if (needed <= 0) {
			return effects;
		}

		needed -= 1;
		if (at - attempt.startedAt >= preemptionQuantumMs) {
			effects.push(checkpoint(attempt, at), {type: 'count', counter: 'task.checkpoint-urgent'});
		} else {
			// A task that has just begun could be checkpointed again and again without progress.
			attempt.preemptedAt = at;
			effects.push({
				type: 'throttle-attempt', attemptId: attempt.id, workerId: attempt.workerId, durationMs: throttleDurationMs,
			}, {type: 'count', counter: 'task.throttled'});
		}
	}

	return effects;
}

/** Tells whether a task could wait `checkpointWaitAllowanceMs` to resume, run for its whole estimated run time and finish before its deadline; otherwise its progress would be lost. */
function canFinishAfterCheckpoint(node: Node, task: Task, at: number): boolean {
	return task.deadlineAt - at > estimateRunTime(node, task) + checkpointWaitAllowanceMs;
}

/** Checkpoints bulk attempts of teams above their local share, so that teams below theirs do not wait for long tasks. */
function checkpointExcess(node: Node, pool: PoolShares, {running, at}: {running: readonly RunningTask[]; at: number}): Effect[] {
	const effects: Effect[] = [];
	const excess = new Map<string, number>();
	for (const [team, account] of pool.accounts) {
		// A team may run one slot more than its local share. Its debt, in slots over `preemptionDebtHorizonMs`, counts as excess.
		excess.set(team, account.running - account.localShare - 1 - (Math.min(account.credit, 0) / preemptionDebtHorizonMs));
	}

	for (const {attempt, task} of running) {
		const excessSlots = excess.get(task.team) ?? 0;
		if (excessSlots <= 0) {
			continue;
		}

		if (isPreemptionPending(attempt, at)) {
			excess.set(task.team, excessSlots - 1);
		} else if (at - attempt.startedAt >= preemptionQuantumMs && canFinishAfterCheckpoint(node, task, at)) {
			excess.set(task.team, excessSlots - 1);
			effects.push(checkpoint(attempt, at), {type: 'count', counter: 'task.checkpoint-share'});
		}
	}

	return effects;
}

/**
 * Checkpoints or throttles bulk tasks where urgent work waits for too long, and checkpoints those of
 * teams that hold more of a saturated pool than their share.
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

		refreshShares(node, name, event.at);
		effects.push(...preemptForUrgent(node, pool, running, event.at));
		if (pool.saturated) {
			effects.push(...checkpointExcess(node, pool, {running, at: event.at}));
		}
	}

	return effects;
}
