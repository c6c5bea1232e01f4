import {type Step} from '../state/job-schema.js';

/**
 * Estimates the length of the critical path through the steps of a job.
 *
 * @param steps - the steps of a job
 * @param isRemaining - tells whether a step still has work; all by default
 * @returns milliseconds
 * @example
 * estimateCriticalPath(job.steps);
 */
export function estimateCriticalPath(steps: readonly Step[], isRemaining: (position: number) => boolean = () => true): number {
	const ends: number[] = [];
	for (const [position, {after, estimatedMs}] of steps.entries()) {
		const start = Math.max(0, ...after.map(earlier => ends[earlier] ?? 0));
		ends.push(start + (isRemaining(position) ? estimatedMs : 0));
	}

	return Math.max(0, ...ends);
}
