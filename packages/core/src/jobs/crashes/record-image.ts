import {type ReducerContext} from '../state/reducer-context.js';
import {type TaskGroup} from '../state/scheduler.js';
import {type ImageEvidence, type ImageRecord} from './image-record.js';

/** Largest number of images with a record; they take less than 100 kB. */
const maximumImages = 512;

/** Longest delay of the summary after a change that the next owner must know, in milliseconds; images that begin to crash workers at once share a write. */
const summaryDelayMs = 200;

/** Next record by the evidence and the present record; undefined for an unknown image. */
const transitions: Record<ImageEvidence, Record<ImageRecord | 'unknown', ImageRecord | undefined>> = {
	lost: {
		unknown: 'suspect', suspect: 'suspect', crashing: 'crashing', sound: 'sound', mixed: 'mixed',
	},
	alive: {
		unknown: undefined, suspect: undefined, crashing: 'crashing', sound: 'sound', mixed: 'mixed',
	},
	crashed: {
		unknown: 'crashing', suspect: 'crashing', crashing: 'crashing', sound: 'mixed', mixed: 'mixed',
	},
	done: {
		unknown: 'sound', suspect: 'sound', crashing: 'mixed', sound: 'sound', mixed: 'mixed',
	},
};

/**
 * Records what a run has shown about the image of its step. The tasks of the jobs of an image behave alike, so the record
 * decides which of them run in isolation. Steps without an image have no record.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @param group - task group of the run
 * @param evidence - what the run has shown: its worker was lost, was alive when it should have crashed, crashed with it in isolation, or it was done
 * @example
 * recordImage(context, group, 'done');
 */
export function recordImage({scheduler: {estimates}, now, effects}: ReducerContext, {definition: {image}, tasks}: TaskGroup, evidence: ImageEvidence): void {
	const record = estimates.images.get(image);
	const next = transitions[evidence][record ?? 'unknown'];
	if (image === '' || next === record) {
		return;
	}

	estimates.images.delete(image);
	if (next !== undefined) {
		estimates.images.set(image, next);
	}

	const [oldest] = estimates.images.keys();
	if (estimates.images.size > maximumImages && oldest !== undefined) {
		estimates.images.delete(oldest);
	}

	estimates.isDirty = true;
	if (record === undefined && next === 'sound') {
		return;
	}

	estimates.summaryDueAt = Math.min(estimates.summaryDueAt, now + summaryDelayMs);
	effects.push({
		type: 'log', level: 'info', event: 'image-judged', fields: {
			image, record: next ?? 'unknown', before: record ?? 'unknown', task: tasks[0]?.id,
		},
	});
}
