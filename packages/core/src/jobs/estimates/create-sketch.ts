import {type Sketch} from './estimates.js';

/**
 * Creates a sketch without samples.
 *
 * @returns the sketch
 * @example
 * addSample(createSketch(), Math.log(640));
 */
export function createSketch(): Sketch {
	return {
		values: [], next: 0, median: 0, spread: 0, version: 0,
	};
}
