import {type Estimates} from './estimates.js';
import {farSketchName} from './far-sketch-name.js';

/** Weight of the ratio in the settings beside learned samples, as a number of samples; a single long task must not move the result much. */
const settingWeight = 3;

/**
 * Estimates how many times as long as near its data a task runs far from it. The ratio in the settings is the prior.
 *
 * @param estimates - what was learned
 * @returns the ratio, at least 1; 1 if the settings say that distance does not matter
 * @example
 * estimateFarRatio(scheduler.estimates); // 3
 */
export function estimateFarRatio({sketches, farRatio}: Estimates): number {
	if (farRatio <= 1) {
		return 1;
	}

	const sketch = sketches.get(farSketchName);
	const count = sketch?.values.length ?? 0;
	const mean = ((settingWeight * Math.log(farRatio)) + (count * (sketch?.median ?? 0))) / (settingWeight + count);
	return Math.max(1, Math.exp(mean));
}
