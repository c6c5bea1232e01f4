import {z} from 'zod';
import {createSketch} from './create-sketch.js';
import {type Estimates} from './estimates.js';
import {addSample} from './add-sample.js';

const summarySchema = z.object({
	sketches: z.array(z.tuple([z.string(), z.int().min(1), z.number(), z.number().min(0)])),
	slow: z.array(z.string()),
	images: z.array(z.tuple([z.string(), z.enum(['suspect', 'crashing', 'sound', 'mixed'])])).default([]),
});

/** Samples that a restored sketch counts for at most; the present owner's samples soon outweigh them. */
const maximumRestoredSamples = 8;

/** Distance from the median, in standard deviations, of samples whose median absolute deviation gives the spread. */
const deviation = 0.6745;

/**
 * Restores what the former owner has learned. A summary that can't be read is ignored.
 *
 * @param estimates - the state of the new owner; changed
 * @param summary - the stored summary; undefined if there is none
 * @param now - local time in milliseconds
 * @returns false if there is a summary and it can't be read
 * @example
 * restoreSummary(scheduler.estimates, stored.estimates, now);
 */
export function restoreSummary(estimates: Estimates, summary: string | undefined, now: number): boolean {
	if (summary === undefined) {
		return true;
	}

	const parsed = summarySchema.safeParse(parseJson(summary));
	if (!parsed.success) {
		return false;
	}

	for (const [name, count, median, spread] of parsed.data.sketches.slice(-estimates.maximumSketches)) {
		const sketch = createSketch();
		const restored = Math.min(count, maximumRestoredSamples);
		for (let position = 0; position < restored; position++) {
			const isMiddle = restored % 2 === 1 && position === restored - 1;
			addSample(sketch, median + (isMiddle ? 0 : (position % 2 === 0 ? 1 : -1) * spread * deviation));
		}

		estimates.version++;
		sketch.version = estimates.version;
		estimates.sketches.set(name, sketch);
	}

	for (const instance of parsed.data.slow) {
		estimates.speeds.set(instance, {
			evidence: 0, suspectedAt: undefined, ratios: [], judgedAt: Number.NEGATIVE_INFINITY, ratio: 0, drift: undefined, isSlow: true, allowance: 1, pausedUntil: 0, slowAt: now,
		});
	}

	for (const [image, record] of parsed.data.images) {
		estimates.images.set(image, record);
	}

	return true;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
