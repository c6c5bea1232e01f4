/**
 * The table of experiments.
 */
import {type Experiment} from './experiment.js';
import {maintenanceFaults} from './experiments/maintenance-faults.js';
import {maintenance} from './experiments/maintenance.js';
import {plannerCost} from './experiments/planner-cost.js';
import {requestPath} from './experiments/request-path.js';

export const experiments: Readonly<Record<string, Experiment>> = {
	maintenance,
	'maintenance-faults': maintenanceFaults,
	'planner-cost': plannerCost,
	'request-path': requestPath,
};
