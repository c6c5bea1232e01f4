/**
 * Experiments by name.
 */
import {type Experiment} from './experiment.js';
import {atMostOnce} from './experiments/at-most-once.js';
import {configurationSpread} from './experiments/configuration-spread.js';
import {controlCost} from './experiments/control-cost.js';
import {decisionCost} from './experiments/decision-cost.js';
import {fairShare} from './experiments/fair-share.js';
import {keyWithdrawal} from './experiments/key-withdrawal.js';
import {maintenance} from './experiments/maintenance.js';
import {maintenanceFaults} from './experiments/maintenance-faults.js';
import {neverReverts} from './experiments/never-reverts.js';
import {plannerCost} from './experiments/planner-cost.js';
import {poolBound} from './experiments/pool-bound.js';
import {requestPath} from './experiments/request-path.js';
import {retryAmplification} from './experiments/retry-amplification.js';
import {rollingRestart} from './experiments/rolling-restart.js';
import {storeOutage} from './experiments/store-outage.js';
import {upperLimit} from './experiments/upper-limit.js';
import {urgentStart} from './experiments/urgent-start.js';
import {zoneWithdrawal} from './experiments/zone-withdrawal.js';

export const experiments: Readonly<Record<string, Experiment>> = {
	'at-most-once': atMostOnce,
	'configuration-spread': configurationSpread,
	'control-cost': controlCost,
	'decision-cost': decisionCost,
	'fair-share': fairShare,
	'key-withdrawal': keyWithdrawal,
	maintenance,
	'maintenance-faults': maintenanceFaults,
	'never-reverts': neverReverts,
	'planner-cost': plannerCost,
	'pool-bound': poolBound,
	'request-path': requestPath,
	'retry-amplification': retryAmplification,
	'rolling-restart': rollingRestart,
	'store-outage': storeOutage,
	'upper-limit': upperLimit,
	'urgent-start': urgentStart,
	'zone-withdrawal': zoneWithdrawal,
};
