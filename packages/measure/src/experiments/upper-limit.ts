/**
 * Measures how upper limits are kept and used under skewed demand and faults, at both users' sizes, in virtual time.
 */
import {memberLeaseTtlMs, reclaimDelayMs} from '@rosemaryquay/core/constants';
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {
	type LimitMeasurements, runLimitScenario, type LimitScenario, type FaultContext,
} from '../run-limit-scenario.js';

const durationMs = 26_000;
const skewDurationMs = 20_000;
const faultAtMs = 5000;
const demand = 1.5;
const skew = 0.9;

/** Runs per fault, each with its own seed and pair of teams. */
const roundsPerFault = 3;

/** Allowance for the lease check, the member listing and the store calls after the reclaim delay. */
const detectionMs = 2000;

type Fault = {readonly name: string; readonly isRecoveryBounded?: boolean; apply?(scene: FaultContext): void};

function nodeIdAt({nodeIds}: FaultContext, index: number): string {
	return nodeIds[index % nodeIds.length] ?? '';
}

function crashNode(scene: FaultContext, index: number): void {
	const nodeId = nodeIdAt(scene, index);
	scene.simulation.stop(nodeId);
	scene.redirectRequests(nodeId, `${nodeId}-b`);
	scene.start(`${nodeId}-b`);
}

function shutDownNode(scene: FaultContext, index: number): void {
	const nodeId = nodeIdAt(scene, index);
	scene.redirectRequests(nodeId, nodeIdAt(scene, index + 1));
	scene.simulation.deliver(nodeId, {type: 'shutdown-requested'});
	scene.simulation.deliver(nodeId, {type: 'shutdown-requested'});
}

const faults: readonly Fault[] = [
	{name: 'none'},
	{
		name: 'lost answers', apply({simulation: pump}) {
			pump.storeCondition = {loseAnswers: 0.3};
		},
	},
	{
		name: 'duplicated and late answers', apply({simulation: pump}) {
			pump.storeCondition = {duplicateAnswers: 0.5, lateAnswers: 0.1};
		},
	},
	{
		name: 'crashed holder', isRecoveryBounded: true, apply(scene) {
			scene.simulation.at(faultAtMs, () => {
				crashNode(scene, 0);
			});
		},
	},
	{
		name: 'paused holder', apply(scene) {
			scene.simulation.at(faultAtMs, () => {
				scene.simulation.pause(nodeIdAt(scene, 0), faultAtMs + 14_000);
			});
		},
	},
	{
		name: 'holder partitioned from the store', apply(scene) {
			scene.simulation.at(faultAtMs, () => {
				scene.simulation.partitioned.add(nodeIdAt(scene, 0));
			});
			scene.simulation.at(faultAtMs + 14_000, () => {
				scene.simulation.partitioned.delete(nodeIdAt(scene, 0));
			});
		},
	},
	{
		name: 'lowered and raised limits', apply(scene) {
			for (const [index, factor] of [0.5, 0.25, 1].entries()) {
				scene.simulation.at(faultAtMs + (index * 6000), () => {
					scene.scaleLimits(factor);
				});
			}
		},
	},
	{
		name: 'store outage', apply({simulation: pump}) {
			pump.at(faultAtMs, () => {
				pump.storeCondition = {down: true};
			});
			pump.at(faultAtMs + 14_000, () => {
				pump.storeCondition = {};
			});
		},
	},
	{
		name: 'shutdown requested twice', apply(scene) {
			scene.simulation.at(faultAtMs, () => {
				shutDownNode(scene, 0);
			});
		},
	},
	{
		name: 'all together', apply(scene) {
			const {simulation: pump} = scene;
			pump.storeCondition = {loseAnswers: 0.1, duplicateAnswers: 0.1, lateAnswers: 0.02};
			pump.at(faultAtMs, () => {
				crashNode(scene, 0);
				pump.pause(nodeIdAt(scene, 1), faultAtMs + 10_000);
				pump.partitioned.add(nodeIdAt(scene, 2));
			});
			pump.at(faultAtMs + 4000, () => {
				scene.scaleLimits(0.5);
				shutDownNode(scene, 3);
			});
			pump.at(faultAtMs + 11_000, () => {
				pump.partitioned.delete(nodeIdAt(scene, 2));
				pump.storeCondition = {down: true};
			});
			pump.at(faultAtMs + 14_000, () => {
				pump.storeCondition = {loseAnswers: 0.1, lateAnswers: 0.02};
			});
		},
	},
];

/** Picks two teams, one of them with a large limit, that fit the workers together, so that their limits and not the workers bound their work. */
function pairTeams(user: User, round: number): string[] {
	const byLimit = Object.entries(user.catalogue.teams).toSorted(([, a], [, b]) => b.limits.running - a.limits.running).map(([name]) => name);
	return [byLimit.at(round), byLimit.at(-1 - round)].filter(name => name !== undefined);
}

/** Runs each team alone, so that its limit and not the workers bounds its work. */
function runSkewed(user: User, seed: number, staticSplit: boolean): LimitMeasurements[] {
	return Object.keys(user.catalogue.teams).map(team => runLimitScenario({
		user, seed, durationMs: skewDurationMs, teams: [team], demand, skew, staticSplit,
	}));
}

export const upperLimit: Experiment = {
	summary: 'Overruns, utilisation under skewed demand and recovery of portions, with faults, at both users\' sizes',
	run({seed}) {
		const rows: Array<{user: string; fault: string; seed: number} & LimitMeasurements> = [];
		let [overruns, recoveryMs, utilisation, staticSplitUtilisation] = [0, 0, 1, 1];
		for (const user of listUsers().map(name => loadUser(name))) {
			for (const fault of faults) {
				for (let round = 0; round < roundsPerFault; round++) {
					const scenario: LimitScenario = {
						user, seed: (seed * roundsPerFault) + round, durationMs, teams: pairTeams(user, round), demand, skew, ...(fault.apply !== undefined && {fault: fault.apply}),
					};
					const measured = runLimitScenario(scenario);
					overruns += measured.overruns;
					recoveryMs = fault.isRecoveryBounded === true ? Math.max(recoveryMs, measured.recoveryMs) : recoveryMs;
					rows.push({
						user: user.name, fault: fault.name, seed: scenario.seed, ...measured,
					});
				}
			}

			for (const staticSplit of [false, true]) {
				for (const measured of runSkewed(user, seed, staticSplit)) {
					overruns += measured.overruns;
					utilisation = staticSplit ? utilisation : Math.min(utilisation, measured.utilisation);
					staticSplitUtilisation = staticSplit ? Math.min(staticSplitUtilisation, measured.utilisation) : staticSplitUtilisation;
					rows.push({
						user: user.name, fault: staticSplit ? 'skew, static split' : 'skew', seed, ...measured,
					});
				}
			}
		}

		return {
			bounds: [
				checkBound('starts above the limit', overruns, {comparison: 'atMost', limit: 0, unit: 'tasks'}),
				checkBound('lowest utilisation of a limit under skewed demand', utilisation, {comparison: 'atLeast', limit: 0.95, unit: 'ratio'}),
				checkBound('recovery of a crashed holder\'s portions', recoveryMs, {comparison: 'atMost', limit: memberLeaseTtlMs + reclaimDelayMs + detectionMs, unit: 'ms'}),
			],
			baselines: [{
				name: 'static split', measure: 'lowest utilisation of a limit under skewed demand', unit: 'ratio', value: staticSplitUtilisation,
			}],
			details: {rows},
		};
	},
};
