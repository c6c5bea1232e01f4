/**
 * The table of experiments.
 */
import {type Experiment} from './experiment.js';
import {atMostOnce} from './experiments/at-most-once.js';
import {decisionCost} from './experiments/decision-cost.js';
import {fairShare} from './experiments/fair-share.js';
import {maintenanceFaults} from './experiments/maintenance-faults.js';
import {maintenance} from './experiments/maintenance.js';
import {plannerCost} from './experiments/planner-cost.js';
import {requestPath} from './experiments/request-path.js';
import {retryAmplification} from './experiments/retry-amplification.js';
import {rollingRestart} from './experiments/rolling-restart.js';
import {urgentStart} from './experiments/urgent-start.js';
import {zoneWithdrawal} from './experiments/zone-withdrawal.js';
import {upperLimit} from './experiments/upper-limit.js';

export const experiments: Readonly<Record<string, Experiment>> = {
	'at-most-once': atMostOnce,
	'decision-cost': decisionCost,
	'fair-share': fairShare,
	maintenance,
	'maintenance-faults': maintenanceFaults,
	'planner-cost': plannerCost,
	'request-path': requestPath,
	'retry-amplification': retryAmplification,
	'rolling-restart': rollingRestart,
	'urgent-start': urgentStart,
	'zone-withdrawal': zoneWithdrawal,
	'upper-limit': upperLimit,
};
