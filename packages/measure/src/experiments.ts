/**
 * The table of experiments.
 */
import {type Experiment} from './experiment.js';
import {atMostOnce} from './experiments/at-most-once.js';
import {decisionCost} from './experiments/decision-cost.js';
import {requestPath} from './experiments/request-path.js';
import {retryAmplification} from './experiments/retry-amplification.js';

export const experiments: Readonly<Record<string, Experiment>> = {
	'at-most-once': atMostOnce,
	'decision-cost': decisionCost,
	'request-path': requestPath,
	'retry-amplification': retryAmplification,
};
