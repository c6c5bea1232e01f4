import {type ReducerContext} from '../state/reducer-context.js';
import {type Task} from '../state/scheduler.js';
import {estimateRemainingTime} from './estimate-remaining-time.js';

/**
 * Separates a run that is released from the other run of its task. If the original is released, the duplicate takes its
 * place, so that a task without an assigned run has no duplicate either.
 *
 * @param context - the reducer context; its state may be changed
 * @param task - the run that is released, while it is still assigned
 * @param outcome - how it ended
 * @returns true if the other run goes on
 * @example
 * separateRun(context, task, 'done');
 */
export function separateRun(context: ReducerContext, task: Task, outcome: string): boolean {
	const {scheduler} = context;
	const {group, id, run, worker} = task;
	const current = scheduler.tasks.get(id);
	const isDuplicate = current !== undefined && current !== task && current.duplicate === task;
	const other = isDuplicate ? current : task.duplicate;
	if (other === undefined) {
		return false;
	}

	if (isDuplicate) {
		current.duplicate = undefined;
	} else {
		task.duplicate = undefined;
		group.tasks[group.tasks.indexOf(task)] = other;
		scheduler.tasks.set(id, other);
	}

	context.effects.push({
		type: 'log', level: 'info', event: 'duplicate-ended', fields: {
			task: id, outcome: nameOutcome(isDuplicate, outcome), run, worker: worker?.id, end: outcome, otherRun: other.run, otherWorker: other.worker?.id,
			savedMs: isDuplicate && outcome === 'done' && !group.done ? roundTime(estimateRemainingTime(other, {freshMs: 0, now: context.now})) : undefined,
		},
	});
	return true;
}

/** Names the run that won, or the one that ended without winning. */
function nameOutcome(isDuplicate: boolean, outcome: string): string {
	if (outcome === 'done') {
		return isDuplicate ? 'duplicate-won' : 'original-won';
	}

	return isDuplicate ? 'duplicate-without-result' : 'original-without-result';
}

function roundTime(milliseconds: number | undefined): number | undefined {
	return milliseconds === undefined ? undefined : Math.round(milliseconds);
}
