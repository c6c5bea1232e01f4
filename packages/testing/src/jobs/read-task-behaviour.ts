import {type TaskBehaviour} from './worker-model.js';

/** Factor by which the first task of a step takes longer than the others in a job with the mark of stragglers. */
const stragglerFactor = 6;

/** Positions in the id of a job: run time of its tasks in milliseconds, then `1` if one task of each step takes longer on some workers, if one fails on a worker, and if the tasks run until they are stopped. */
const durationDigits = [8, 12] as const;
const stragglerDigit = 12;
const failureDigit = 13;
const longRunningDigit = 14;

/** Worker on which the tasks fail that fail at all; the other workers complete them. */
const failingWorker = 'w1';

/**
 * Reads from the name of a task how it behaves, so that stand-ins in separate processes agree without a message.
 *
 * @param task - name of the task: job, occurrence, step and index
 * @param worker - id of the worker that runs it; a straggler is slow on workers with an odd number only
 * @returns the behaviour
 * @example
 * readTaskBehaviour('0000000100c81000.0.0.0', 'w1').durationMs; // 1200
 */
export function readTaskBehaviour(task: string, worker: string): TaskBehaviour {
	const parts = task.split('.');
	const job = parts[0] ?? '';
	const index = parts.at(-1);
	const durationMs = Number.parseInt(job.slice(...durationDigits), 16);
	const isStraggler = job[stragglerDigit] === '1' && index === '0' && Number(worker.slice(1)) % 2 === 1;
	return {
		durationMs: isStraggler ? durationMs * stragglerFactor : durationMs, fails: job[failureDigit] === '1' && index === '0' && worker === failingWorker, runsUntilStopped: job[longRunningDigit] === '1', stalls: false, crashesWorker: false,
	};
}
