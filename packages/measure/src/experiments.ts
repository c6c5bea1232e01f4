/**
 * The table of experiments.
 */
import {type Experiment} from './experiment.js';
import {requestPath} from './experiments/request-path.js';
import {upperLimit} from './experiments/upper-limit.js';

export const experiments: Readonly<Record<string, Experiment>> = {
	'request-path': requestPath,
	'upper-limit': upperLimit,
};
