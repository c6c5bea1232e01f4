import {createSketch} from './create-sketch.js';
import {type Estimates} from './estimates.js';

/** Largest number of sketches; with 32 samples each they take about 150 kB. */
const defaultMaximumSketches = 512;

/**
 * Creates the state of an owner that has learned nothing yet.
 *
 * @param options - largest number of sketches; 0 to learn nothing
 * @returns the state
 * @example
 * createEstimates();
 */
export function createEstimates(options: {maximumSketches?: number} = {}): Estimates {
	const {maximumSketches = defaultMaximumSketches} = options;
	return {
		sketches: new Map(),
		maximumSketches,
		version: 1,
		errors: createSketch(),
		callerErrors: createSketch(),
		speeds: new Map(),
		images: new Map(),
		isDirty: false,
		summaryDueAt: 0,
	};
}
