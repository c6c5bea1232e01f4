/**
 * The table of experiments.
 */
import {type Experiment} from './experiment.js';
import {configurationSpread} from './experiments/configuration-spread.js';
import {keyWithdrawal} from './experiments/key-withdrawal.js';
import {neverReverts} from './experiments/never-reverts.js';
import {requestPath} from './experiments/request-path.js';
import {storeOutage} from './experiments/store-outage.js';

export const experiments: Readonly<Record<string, Experiment>> = {
	'configuration-spread': configurationSpread,
	'key-withdrawal': keyWithdrawal,
	'never-reverts': neverReverts,
	'request-path': requestPath,
	'store-outage': storeOutage,
};
