/**
 * The fleet handlers with the routes that they are mounted at.
 */
import {applyFleet} from './fleet-apply.js';
import {type FleetHandler} from './fleet-context.js';
import {controlFleet} from './fleet-control.js';
import {requestFleetStep} from './fleet-instance.js';
import {planFleet} from './fleet-plan.js';
import {readFleetStatus} from './fleet-status.js';

export const fleetRoutes: ReadonlyArray<{readonly method: 'GET' | 'POST'; readonly path: string; readonly handler: FleetHandler}> = [
	{method: 'GET', path: '/operator/fleet/status', handler: readFleetStatus},
	{method: 'GET', path: '/operator/fleet/instances/:instance', handler: readFleetStatus},
	{method: 'POST', path: '/operator/fleet/plan', handler: planFleet},
	{method: 'POST', path: '/operator/fleet/apply', handler: applyFleet},
	{method: 'POST', path: '/operator/fleet/plan/:command', handler: controlFleet},
	{method: 'POST', path: '/operator/fleet/instances/:instance/:action', handler: requestFleetStep},
];
