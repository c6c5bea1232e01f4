/**
 * The table of experiments.
 */
import {type Experiment} from './experiment.js';
import {fairShare} from './experiments/fair-share.js';
import {requestPath} from './experiments/request-path.js';
import {rollingRestart} from './experiments/rolling-restart.js';
import {urgentStart} from './experiments/urgent-start.js';
import {zoneWithdrawal} from './experiments/zone-withdrawal.js';

export const experiments: Readonly<Record<string, Experiment>> = {
	'fair-share': fairShare,
	'request-path': requestPath,
	'rolling-restart': rollingRestart,
	'urgent-start': urgentStart,
	'zone-withdrawal': zoneWithdrawal,
};
