import {type Configuration} from '@rosemaryquay/core/jobs/configuration-schema';
import {type ListedInstance} from '@rosemaryquay/core/jobs/instance';
import {type Job} from '@rosemaryquay/core/jobs/job-schema';
import {type ListedWorker} from '@rosemaryquay/core/jobs/scheduler';
import {type TaskBehaviour} from './worker-model.js';

/** Options of a modelled fleet. */
export type FleetOptions = {
	seed: number;
	configuration: Configuration;
	workers: readonly ListedWorker[];
	instances?: readonly ListedInstance[];
	/** Behaviour of a task; by default it takes as long as estimated, and a long-running one runs until it is stopped. */
	getBehaviour?: (task: string, job: Job) => Partial<TaskBehaviour>;
};
