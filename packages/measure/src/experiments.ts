/**
 * The table of experiments.
 */
import {type Experiment} from './experiment.js';
import {maintenance} from './experiments/maintenance.js';
import {requestPath} from './experiments/request-path.js';

export const experiments: Readonly<Record<string, Experiment>> = {
	maintenance,
	'request-path': requestPath,
};
