/**
 * Compares the planner of pools with one that knows the day in advance.
 */
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';
import {computeBound} from '../pool-bound/compute-bound.js';
import {createTurns} from '../pool-bound/create-turns.js';
import {plotInstances} from '../pool-bound/plot-instances.js';
import {simulatePlanner} from '../pool-bound/simulate-planner.js';

/** Length of the load: seven turns of 5 s, less the rest of the last one. */
const loadMs = 34_000;

/** Time to cover; the last jobs end within their objective of at most about 10 s. */
const durationMs = 44_000;

export const poolBound: Experiment = {
	summary: 'Instance-seconds and moves of the planner of pools, beside the fewest that serve the same jobs in time',
	run({seed}) {
		const pools = createTurns({seed, durationMs: loadMs});
		const bound = computeBound(pools, durationMs);
		const planner = simulatePlanner(pools, {seed, durationMs});
		const round = (value: number): number => Math.round(value * 10) / 10;
		return {
			bounds: [
				checkBound('instance-seconds of the planner against the work of the jobs', round(planner.instanceSeconds), {comparison: 'atLeast', limit: round(bound.workSeconds), unit: 'instance-seconds'}),
			],
			baselines: [
				{
					name: 'planner', measure: 'jobs in time', unit: `of ${planner.jobs}`, value: planner.inTime,
				},
				{
					name: 'planner', measure: 'moves', unit: 'moves', value: planner.moves,
				},
				{
					name: 'day known in advance', measure: 'jobs in time', unit: `of ${planner.jobs}`, value: bound.feasibleJobs,
				},
				{
					name: 'day known in advance', measure: 'instance-seconds', unit: 'instance-seconds', value: round(bound.instanceSeconds),
				},
				{
					name: 'day known in advance', measure: 'moves', unit: 'moves', value: bound.moves,
				},
				{
					name: 'work of the jobs', measure: 'instance-seconds', unit: 'instance-seconds', value: round(bound.workSeconds),
				},
			],
			plot: plotInstances({planner: planner.instances, 'day known in advance': bound.instances}),
		};
	},
};
