/**
 * Upper limits under skewed demand and faults, at both users' sizes, on virtual time.
 */
import {memberLeaseTtlMs, reclaimDelayMs} from '@rosemaryquay/core/constants';
import {checkBound} from '../check-bound.js';
import {type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {
	type Measured, runLimitScenario, type Scenario, type Scene,
} from '../run-limit-scenario.js';

const durationMs = 26_000;
const skewDurationMs = 20_000;
const faultAt = 5000;
const demand = 1.5;
const skew = 0.9;

/** Runs of each fault, each with another seed and another pair of teams. */
const roundsPerFault = 3;

/** Lease check, member list, and the store calls after the wait. */
const detectionMs = 2000;

type Fault = {readonly name: string; readonly recovers?: boolean; apply?(scene: Scene): void};

function nodeAt({nodeIds}: Scene, index: number): string {
	return nodeIds[index % nodeIds.length] ?? '';
}

function crash(scene: Scene, index: number): void {
	const nodeId = nodeAt(scene, index);
	scene.pump.stop(nodeId);
	scene.moveDemand(nodeId, `${nodeId}-b`);
	scene.start(`${nodeId}-b`);
}

function shutDown(scene: Scene, index: number): void {
	const nodeId = nodeAt(scene, index);
	scene.moveDemand(nodeId, nodeAt(scene, index + 1));
	scene.pump.deliver(nodeId, {type: 'shutdown-requested'});
	scene.pump.deliver(nodeId, {type: 'shutdown-requested'});
}

const faults: readonly Fault[] = [
	{name: 'none'},
	{
		name: 'lost answers', apply({pump}) {
			pump.storeCondition = {loseAnswers: 0.3};
		},
	},
	{
		name: 'duplicated and late answers', apply({pump}) {
			pump.storeCondition = {duplicateAnswers: 0.5, lateAnswers: 0.1};
		},
	},
	{
		name: 'crashed holder', recovers: true, apply(scene) {
			scene.pump.at(faultAt, () => {
				crash(scene, 0);
			});
		},
	},
	{
		name: 'paused holder', apply(scene) {
			scene.pump.at(faultAt, () => {
				scene.pump.pause(nodeAt(scene, 0), faultAt + 14_000);
			});
		},
	},
	{
		name: 'holder partitioned from the store', apply(scene) {
			scene.pump.at(faultAt, () => {
				scene.pump.partitioned.add(nodeAt(scene, 0));
			});
			scene.pump.at(faultAt + 14_000, () => {
				scene.pump.partitioned.delete(nodeAt(scene, 0));
			});
		},
	},
	{
		name: 'lowered and raised limits', apply(scene) {
			for (const [index, factor] of [0.5, 0.25, 1].entries()) {
				scene.pump.at(faultAt + (index * 6000), () => {
					scene.scaleLimits(factor);
				});
			}
		},
	},
	{
		name: 'store outage', apply({pump}) {
			pump.at(faultAt, () => {
				pump.storeCondition = {down: true};
			});
			pump.at(faultAt + 14_000, () => {
				pump.storeCondition = {};
			});
		},
	},
	{
		name: 'shutdown requested twice', apply(scene) {
			scene.pump.at(faultAt, () => {
				shutDown(scene, 0);
			});
		},
	},
	{
		name: 'all together', apply(scene) {
			const {pump} = scene;
			pump.storeCondition = {loseAnswers: 0.1, duplicateAnswers: 0.1, lateAnswers: 0.02};
			pump.at(faultAt, () => {
				crash(scene, 0);
				pump.pause(nodeAt(scene, 1), faultAt + 10_000);
				pump.partitioned.add(nodeAt(scene, 2));
			});
			pump.at(faultAt + 4000, () => {
				scene.scaleLimits(0.5);
				shutDown(scene, 3);
			});
			pump.at(faultAt + 11_000, () => {
				pump.partitioned.delete(nodeAt(scene, 2));
				pump.storeCondition = {down: true};
			});
			pump.at(faultAt + 14_000, () => {
				pump.storeCondition = {loseAnswers: 0.1, lateAnswers: 0.02};
			});
		},
	},
];

/** Two teams, one with a large limit: together they fit the workers, so that their limits bound their work. */
function pairTeams(user: User, round: number): string[] {
	const byLimit = Object.entries(user.catalogue.teams).toSorted(([, a], [, b]) => b.limits.running - a.limits.running).map(([name]) => name);
	return [byLimit.at(round), byLimit.at(-1 - round)].filter(name => name !== undefined);
}

/** Runs each team alone, so that its limit and not the workers bound its work. */
function runSkewed(user: User, seed: number, staticSplit: boolean): Measured[] {
	return Object.keys(user.catalogue.teams).map(team => runLimitScenario({
		user, seed, durationMs: skewDurationMs, teams: [team], demand, skew, staticSplit,
	}));
}

export const upperLimit: Experiment = {
	summary: 'Overruns, utilisation under skewed demand and recovery of portions, with faults, at both users\' sizes',
	run({seed}) {
		const rows: Array<{user: string; fault: string; seed: number} & Measured> = [];
		let [overruns, recoveryMs, utilisation, splitUtilisation] = [0, 0, 1, 1];
		for (const user of listUsers().map(name => loadUser(name))) {
			for (const fault of faults) {
				for (let round = 0; round < roundsPerFault; round++) {
					const scenario: Scenario = {
						user, seed: (seed * roundsPerFault) + round, durationMs, teams: pairTeams(user, round), demand, skew, ...(fault.apply !== undefined && {fault: fault.apply}),
					};
					const measured = runLimitScenario(scenario);
					overruns += measured.overruns;
					recoveryMs = fault.recovers === true ? Math.max(recoveryMs, measured.recoveryMs) : recoveryMs;
					rows.push({
						user: user.name, fault: fault.name, seed: scenario.seed, ...measured,
					});
				}
			}

			for (const staticSplit of [false, true]) {
				for (const measured of runSkewed(user, seed, staticSplit)) {
					overruns += measured.overruns;
					utilisation = staticSplit ? utilisation : Math.min(utilisation, measured.utilisation);
					splitUtilisation = staticSplit ? Math.min(splitUtilisation, measured.utilisation) : splitUtilisation;
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
				name: 'static split', measure: 'lowest utilisation of a limit under skewed demand', unit: 'ratio', value: splitUtilisation,
			}],
			details: {rows},
		};
	},
};
