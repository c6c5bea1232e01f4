/**
 * The table of experiments.
 */
import {type Experiment} from './experiment.js';
import {requestPath} from './experiments/request-path.js';
import {rollingRestart} from './experiments/rolling-restart.js';

export const experiments: Readonly<Record<string, Experiment>> = {
	'request-path': requestPath,
	'rolling-restart': rollingRestart,
};
