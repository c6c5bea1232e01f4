import {type View} from '@rosemaryquay/core/jobs/views/view-schema';
import {type LabelledValue} from './process-metrics.js';

/** Thousandths of a core in a core. */
const millisPerCore = 1000;

/** Counts of instances and workers of a pool that are shown as a metric. */
const instanceStates = ['instances', 'workers', 'schedulable', 'arriving', 'departing', 'kept'] as const;

const poolCores = ['capacity', 'used', 'forecast', 'forecastError'] as const;

const organisationCores = ['used', 'share', 'waiting'] as const;

/**
 * Lists the values of the gauges about pools and organisations. The view bounds the number of organisations to 20 for each
 * service.
 *
 * @param view - the view of the owner; undefined in processes that do not own the schedule
 * @returns the values of each gauge
 * @example
 * listViewGauges(view).poolInstances;
 */
export function listViewGauges(view: View | undefined): {poolInstances: LabelledValue[]; poolCores: LabelledValue[]; organisationCores: LabelledValue[]; waitingJobs: LabelledValue[]; waitReasons: LabelledValue[]} {
	const {pools = [], shares = [], backlogs = [], waitCounts = []} = view ?? {};
	return {
		poolInstances: pools.flatMap(pool => instanceStates.map(state => ({labels: {pool: pool.name, state}, value: pool[state]}))),
		poolCores: pools.filter(({spare}) => !spare).flatMap(pool => poolCores.map(kind => ({labels: {pool: pool.name, kind}, value: pool[kind] / millisPerCore}))),
		organisationCores: shares.flatMap(share => organisationCores.map(kind => ({labels: {service: share.service, organisation: share.organisation, kind}, value: share[kind] / millisPerCore}))),
		waitingJobs: backlogs.map(({service, jobs}) => ({labels: {service}, value: jobs})),
		waitReasons: waitCounts.map(({service, reason, jobs}) => ({labels: {service, reason}, value: jobs})),
	};
}
