/**
 * Simulates roll-outs over both users' fleets and the largest supported fleet (17,000 instances), in virtual time.
 */
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';
import {createFleet, createUserFleet} from '../maintenance/create-fleet.js';
import {loadWeights} from '../maintenance/load-weights.js';
import {simulateRollOut, type RollOutResult} from '../maintenance/simulate-roll-out.js';
import {listUsers, loadUser} from '../load-user.js';

/** Weights for the largest supported fleet. */
const weights = {buffer: 1, rollOutTime: 20, moves: 20};

const largestFleet = {
	instances: 17_000, pools: 22, zones: 25, failuresPerDay: 280, replacementsPerDay: 4900,
};

/** Maximum roll-out time divided by the shortest time that the budgets alone allow (design section 1.2). */
const maximumStretch = 1.2;

function listBounds(name: string, result: RollOutResult) {
	const {baselines} = result;
	const smallestBaselineBufferHours = Math.min(baselines.single.bufferHours, baselines.batch.bufferHours);
	return [
		checkBound(`${name}: planned steps beyond a budget`, result.budgetViolations, {comparison: 'atMost', limit: 0, unit: 'steps'}),
		checkBound(`${name}: instances in two pools`, result.poolViolations, {comparison: 'atMost', limit: 0, unit: 'instances'}),
		checkBound(`${name}: instances not maintained`, result.unmaintained, {comparison: 'atMost', limit: 0, unit: 'instances'}),
		checkBound(`${name}: roll-out time relative to the bound of the budgets`, result.stretch, {comparison: 'atMost', limit: maximumStretch, unit: 'ratio'}),
		checkBound(`${name}: moves beyond the plan's lower bound`, result.moves - result.movesLowerBound, {comparison: 'atMost', limit: 0, unit: 'moves'}),
		checkBound(`${name}: buffer relative to the better baseline`, result.bufferHours / smallestBaselineBufferHours, {comparison: 'atMost', limit: 0.999, unit: 'ratio'}),
	];
}

export const maintenance: Experiment = {
	summary: 'Roll-outs at both users\' sizes and the design size: buffer, time, moves and budgets',
	run({seed}) {
		const runs: Array<[string, RollOutResult]> = [];
		for (const name of listUsers()) {
			runs.push([name, simulateRollOut(createUserFleet(loadUser(name)), {seed, weights: loadWeights(name)})]);
		}

		runs.push(['design size', simulateRollOut(createFleet(largestFleet), {seed, weights, ...largestFleet})]);
		return {
			bounds: runs.flatMap(([name, result]) => listBounds(name, result)),
			baselines: runs.flatMap(([name, {baselines, outHours}]) => [
				{
					name: `${name}: one instance at a time`, measure: 'buffer', unit: 'instance-hours', value: baselines.single.bufferHours,
				},
				{
					name: `${name}: one instance at a time`, measure: 'roll-out time', unit: 'hours', value: baselines.single.hours,
				},
				{
					name: `${name}: fixed batch`, measure: 'buffer', unit: 'instance-hours', value: baselines.batch.bufferHours,
				},
				{
					name: `${name}: fixed batch`, measure: 'roll-out time', unit: 'hours', value: baselines.batch.hours,
				},
				{
					name: `${name}: any method`, measure: 'out of service by plan', unit: 'instance-hours', value: outHours,
				},
			]),
			details: Object.fromEntries(runs),
		};
	},
};
