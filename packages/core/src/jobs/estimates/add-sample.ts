import {computeMedian} from './compute-median.js';
import {type Sketch} from './estimates.js';

/** Samples that a sketch keeps; at some jobs a second they span the last 3 to 15 s, so a changed load is learned within seconds. */
const maximumSamples = 32;

/** Standard deviation of a normal distribution by its median absolute deviation. */
const deviationsPerMedianDeviation = 1.4826;

/**
 * Adds a sample to a sketch. The cost is bounded, and a few outliers barely move the result.
 *
 * @param sketch - the sketch; changed
 * @param value - the sample, in log space
 * @example
 * addSample(sketch, Math.log(640));
 */
export function addSample(sketch: Sketch, value: number): void {
	if (sketch.values.length < maximumSamples) {
		sketch.values.push(value);
	} else {
		sketch.values[sketch.next] = value;
		sketch.next = (sketch.next + 1) % maximumSamples;
	}

	sketch.median = computeMedian(sketch.values);
	sketch.spread = deviationsPerMedianDeviation * computeMedian(sketch.values.map(sample => Math.abs(sample - sketch.median)));
}
