import {type Bound} from './experiment.js';

const symbols = {atMost: '<=', atLeast: '>='};

const comparisons = {
	atMost: (value: number, limit: number) => value <= limit,
	atLeast: (value: number, limit: number) => value >= limit,
};

/**
 * Compares a measured value with its target.
 *
 * @param measure - name of the measure
 * @param value - the measured value
 * @param options - comparison, limit and unit of the target
 * @returns the bound, with the target as text and whether the value meets it
 * @example
 * checkBound('overruns', 0, {comparison: 'atMost', limit: 0, unit: 'tasks'});
 */
export function checkBound(measure: string, value: number, options: {comparison: keyof typeof comparisons; limit: number; unit: string}): Bound {
	const {comparison, limit, unit} = options;
	return {
		measure, unit, target: `${symbols[comparison]} ${limit}`, value, holds: comparisons[comparison](value, limit),
	};
}
