import {addSample} from './add-sample.js';
import {createSketch} from './create-sketch.js';
import {type Estimates} from './estimates.js';

/** Change of a median or spread from which cached estimates are computed anew; smaller ones change no decision. */
const noticeableChange = 0.02;

/**
 * Adds a sample to the sketch of a name. The sketch that has gone longest without a sample is evicted when there are too many.
 *
 * @param estimates - the state; changed
 * @param name - name of the sketch
 * @param value - the sample, in log space
 * @example
 * learnSample(estimates, 'queue plans 0', Math.log(640));
 */
export function learnSample(estimates: Estimates, name: string, value: number): void {
	if (estimates.maximumSketches === 0) {
		return;
	}

	const sketch = estimates.sketches.get(name) ?? createSketch();
	const {median, spread, values} = sketch;
	const count = values.length;
	addSample(sketch, value);
	if (sketch.values.length !== count || Math.abs(sketch.median - median) > noticeableChange || Math.abs(sketch.spread - spread) > noticeableChange) {
		estimates.version++;
		sketch.version = estimates.version;
	}

	estimates.isDirty = true;
	estimates.sketches.delete(name);
	estimates.sketches.set(name, sketch);
	for (const oldest of estimates.sketches.keys()) {
		if (estimates.sketches.size <= estimates.maximumSketches) {
			break;
		}

		estimates.sketches.delete(oldest);
	}
}
