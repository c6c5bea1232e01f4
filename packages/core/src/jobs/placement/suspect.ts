import {type StepState, type TaskGroup} from '../state/scheduler.js';

/** A task group that may have crashed a worker and waits for a trial. */
export type Suspect = {readonly group: TaskGroup; readonly step: StepState};
