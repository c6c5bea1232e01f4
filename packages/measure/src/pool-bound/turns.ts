import {type SimulatedJob} from '@rosemaryquay/testing/jobs/order-simulation';

/** Jobs of a pool. */
export type PoolJobs = {readonly pool: string; readonly initialInstances: number; readonly jobs: readonly SimulatedJob[]};

/** Cores of an instance, in thousandths. */
export const instanceCpuMillis = 16_000;
