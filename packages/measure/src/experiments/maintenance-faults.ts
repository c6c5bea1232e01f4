/**
 * Simulates roll-outs under faults of the planner, the store, the platform, the instance list and operators.
 */
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';
import {runFaults, type FaultCase, type FaultResult} from '../maintenance/run-faults.js';

const runsPerCase = 5;

const cases: Readonly<Record<string, Omit<FaultCase, 'seed'>>> = {
	'no fault': {},
	'planner crash while draining': {crashAtState: 'draining'},
	'planner crash while rebooting': {crashAtState: 'rebooting'},
	'planner crash while moving': {crashAtState: 'moving'},
	'planner crash while returning': {crashAtState: 'drained'},
	'planner crash at the end of a step': {crashAtState: 'in-service'},
	'planner crash every minute': {crashIntervalMs: 60_000},
	'paused planner': {planners: 3, pauseIntervalMs: 180_000},
	'lost answers': {lostResponseProbability: 0.3},
	'duplicated answers': {duplicateResponseProbability: 0.5},
	'store outages': {storeOutageIntervalMs: 300_000},
	'instance list outages': {listOutageIntervalMs: 300_000},
	'withdrawn availability zone': {zoneWithdrawalIntervalMs: 1_800_000},
	'unplanned failures': {failuresPerDay: 60},
	'racing operators': {operators: true},
	'instances that never come back or fail after each reboot': {faultyInstances: true},
	'all together': {
		planners: 3, crashIntervalMs: 420_000, pauseIntervalMs: 300_000, lostResponseProbability: 0.1, duplicateResponseProbability: 0.1, storeOutageIntervalMs: 900_000, listOutageIntervalMs: 1_200_000, zoneWithdrawalIntervalMs: 7_200_000, failuresPerDay: 30, operators: true, faultyInstances: true,
	},
};

function sum(results: readonly FaultResult[], select: (result: FaultResult) => number): number {
	return results.reduce((total, result) => total + select(result), 0);
}

export const maintenanceFaults: Experiment = {
	summary: 'Roll-outs under planner crashes, lost answers, stale lists, racing planners and operators',
	run({seed}) {
		const details: Record<string, readonly FaultResult[]> = {};
		for (const [name, faults] of Object.entries(cases)) {
			details[name] = Array.from({length: runsPerCase}, (_, index) => runFaults({...faults, seed: (seed * 1000) + index}));
		}

		const results = Object.values(details).flat();
		const atMost0 = {comparison: 'atMost', limit: 0} as const;
		return {
			bounds: [
				checkBound('planned steps beyond a budget', sum(results, result => result.budgetViolations), {...atMost0, unit: 'steps'}),
				checkBound('instances in two pools', sum(results, result => result.poolViolations), {...atMost0, unit: 'instances'}),
				checkBound('runs that did not end', results.filter(result => !result.ended).length, {...atMost0, unit: 'runs'}),
			],
			baselines: [
				{
					name: 'no fault', measure: 'roll-out time', unit: 'hours', value: sum(details['no fault'] ?? [], result => result.hours) / runsPerCase,
				},
				{
					name: 'all together', measure: 'roll-out time', unit: 'hours', value: sum(details['all together'] ?? [], result => result.hours) / runsPerCase,
				},
			],
			details: Object.fromEntries(Object.entries(details).map(([name, runs]) => [name, {
				hours: sum(runs, run => run.hours) / runsPerCase,
				crashes: sum(runs, run => run.crashes),
				suspects: sum(runs, run => run.suspects),
				conflicts: sum(runs, run => run.conflicts),
				unseenOverruns: sum(runs, run => run.unseenOverruns),
			}])),
		};
	},
};
