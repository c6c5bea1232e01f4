import {type Worker} from '../state/scheduler.js';

/** Workers of a service on which the first tasks of steps are tried while tasks of the service crash their workers. */
export type Screening = {readonly trialWorkers: readonly Worker[]};
