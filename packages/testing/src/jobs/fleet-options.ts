import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';
import {type TaskBehaviour} from './worker-model.js';

/** Options of a modelled fleet. */
export type FleetOptions = {
	seed: number;
	configuration: Configuration;
	workers: readonly ListedWorker[];
	instances?: readonly ListedInstance[];
	/** Behaviour of a run of a task; by default it takes as long as estimated, and a long-running one runs until it is stopped. */
	getBehaviour?: (task: string, job: Job, order: {readonly worker: string; readonly run: number}) => Partial<TaskBehaviour>;
};
