import {createSketch} from './create-sketch.js';
import {type Estimates} from './estimates.js';

/** Largest number of sketches; with 32 samples each they take about 150 kB. */
const defaultMaximumSketches = 512;

/** Ratio of far to near run time where the settings give none; deployments have 1.5 to 3. */
const defaultFarRatio = 2;

/**
 * Creates the state of an owner that has learned nothing yet.
 *
 * @param options - largest number of sketches, 0 to learn nothing, and the ratio of far to near run time in the settings
 * @returns the state
 * @example
 * createEstimates();
 */
export function createEstimates(options: {maximumSketches?: number; farRatio?: number} = {}): Estimates {
	const {maximumSketches = defaultMaximumSketches, farRatio = defaultFarRatio} = options;
	return {
		sketches: new Map(),
		maximumSketches,
		farRatio,
		version: 1,
		errors: createSketch(),
		callerErrors: createSketch(),
		speeds: new Map(),
		isDirty: false,
		summaryDueAt: 0,
	};
}
