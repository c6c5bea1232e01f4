import {type WorkerReport} from './event.js';
import {openOccurrences} from './open-occurrences.js';
import {type ReducerContext} from './reducer-context.js';

/** Matches the identifier of a task: its job, occurrence, step and position. */
const taskIdPattern = /^(?<job>.+)\.(?<occurrence>\d+)\.\d+\.\d+$/;

/**
 * Opens the occurrences of known jobs whose tasks a worker has started. A former owner whose wall clock was ahead may have
 * opened them before they are due by the wall clock of this owner.
 *
 * @param context - the reducer context; its state is changed
 * @param report - the report of the worker
 * @example
 * openReportedOccurrences(context, report);
 */
export function openReportedOccurrences(context: ReducerContext, report: WorkerReport): void {
	const {jobs, tasks} = context.scheduler;
	for (const {task} of [...report.running, ...report.ended]) {
		if (tasks.has(task)) {
			continue;
		}

		const {job: id = '', occurrence} = taskIdPattern.exec(task)?.groups ?? {};
		const job = jobs.get(id);
		if (job !== undefined && Number(occurrence) < job.definition.repeatCount) {
			openOccurrences(context, job, Number(occurrence) + 1);
		}
	}
}
