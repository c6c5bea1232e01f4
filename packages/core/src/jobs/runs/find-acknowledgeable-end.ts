import {type Worker} from '../state/scheduler.js';

/**
 * Finds the last end of a worker that may be acknowledged once it is stored. An end of a done task stays unacknowledged
 * while a start of another run of that task may still be carried out: an acknowledged end rules every later start out.
 *
 * @param worker - the worker; ends whose other run is ruled out are no longer contested
 * @returns sequence number of the end
 * @example
 * findAcknowledgeableEnd(worker) > worker.committedEndNumber;
 */
export function findAcknowledgeableEnd(worker: Worker): number {
	let last = worker.receivedEndNumber;
	for (const [number, otherRuns] of worker.contestedEnds) {
		if (otherRuns.some(({task, run}) => task.worker !== undefined && task.run === run)) {
			last = Math.min(last, number - 1);
		} else {
			worker.contestedEnds.delete(number);
		}
	}

	return last;
}
