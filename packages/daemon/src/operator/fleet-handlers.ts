/**
 * Method, path and handler of each fleet command.
 */
import {applyPlan} from './apply-plan.js';
import {type FleetHandler} from './fleet-context.js';
import {changePlanStatus} from './change-plan-status.js';
import {requestInstanceStep} from './request-instance-step.js';
import {createFleetPlan} from './create-fleet-plan.js';
import {readFleetStatus} from './read-fleet-status.js';

export const fleetHandlers: ReadonlyArray<{readonly method: 'GET' | 'POST'; readonly path: string; readonly handler: FleetHandler}> = [
	{method: 'GET', path: '/operator/fleet/status', handler: readFleetStatus},
	{method: 'GET', path: '/operator/fleet/instances/:instance', handler: readFleetStatus},
	{method: 'POST', path: '/operator/fleet/plan', handler: createFleetPlan},
	{method: 'POST', path: '/operator/fleet/apply', handler: applyPlan},
	{method: 'POST', path: '/operator/fleet/plan/:command', handler: changePlanStatus},
	{method: 'POST', path: '/operator/fleet/instances/:instance/:action', handler: requestInstanceStep},
];
