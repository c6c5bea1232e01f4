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

type Fault = {readonly name: string; readonly isRecoveryBounded?: boolean; apply?(context: FaultContext): void};

function nodeIdAt({nodeIds}: FaultContext, index: number): string {
	return nodeIds[index % nodeIds.length] ?? '';
}

function crashNode(context: FaultContext, index: number): void {
	const nodeId = nodeIdAt(context, index);
	context.simulation.stop(nodeId);
	context.redirectRequests(nodeId, `${nodeId}-b`);
	context.start(`${nodeId}-b`);
}

function shutDownNode(context: FaultContext, index: number): void {
	const nodeId = nodeIdAt(context, index);
	context.redirectRequests(nodeId, nodeIdAt(context, index + 1));
	context.simulation.deliver(nodeId, {type: 'shutdown-requested'});
	context.simulation.deliver(nodeId, {type: 'shutdown-requested'});
}

const faults: readonly Fault[] = [
	{name: 'none'},
	{
		name: 'lost answers', apply({simulation}) {
			simulation.storeCondition = {lostResponseProbability: 0.3};
		},
	},
	{
		name: 'duplicated and late answers', apply({simulation}) {
			simulation.storeCondition = {duplicateResponseProbability: 0.5, lateResponseProbability: 0.1};
		},
	},
	{
		name: 'crashed holder', isRecoveryBounded: true, apply(context) {
			context.simulation.at(faultAtMs, () => {
				crashNode(context, 0);
			});
		},
	},
	{
		name: 'paused holder', apply(context) {
			context.simulation.at(faultAtMs, () => {
				context.simulation.pause(nodeIdAt(context, 0), faultAtMs + 14_000);
			});
		},
	},
	{
		name: 'holder partitioned from the store', apply(context) {
			context.simulation.at(faultAtMs, () => {
				context.simulation.partitioned.add(nodeIdAt(context, 0));
			});
			context.simulation.at(faultAtMs + 14_000, () => {
				context.simulation.partitioned.delete(nodeIdAt(context, 0));
			});
		},
	},
	{
		name: 'lowered and raised limits', apply(context) {
			for (const [index, factor] of [0.5, 0.25, 1].entries()) {
				context.simulation.at(faultAtMs + (index * 6000), () => {
					context.scaleLimits(factor);
				});
			}
		},
	},
	{
		name: 'store outage', apply({simulation}) {
			simulation.at(faultAtMs, () => {
				simulation.storeCondition = {down: true};
			});
			simulation.at(faultAtMs + 14_000, () => {
				simulation.storeCondition = {};
			});
		},
	},
	{
		name: 'shutdown requested twice', apply(context) {
			context.simulation.at(faultAtMs, () => {
				shutDownNode(context, 0);
			});
		},
	},
	{
		name: 'all together', apply(context) {
			const {simulation} = context;
			simulation.storeCondition = {lostResponseProbability: 0.1, duplicateResponseProbability: 0.1, lateResponseProbability: 0.02};
			simulation.at(faultAtMs, () => {
				crashNode(context, 0);
				simulation.pause(nodeIdAt(context, 1), faultAtMs + 10_000);
				simulation.partitioned.add(nodeIdAt(context, 2));
			});
			simulation.at(faultAtMs + 4000, () => {
				context.scaleLimits(0.5);
				shutDownNode(context, 3);
			});
			simulation.at(faultAtMs + 11_000, () => {
				simulation.partitioned.delete(nodeIdAt(context, 2));
				simulation.storeCondition = {down: true};
			});
			simulation.at(faultAtMs + 14_000, () => {
				simulation.storeCondition = {lostResponseProbability: 0.1, lateResponseProbability: 0.02};
			});
		},
	},
];

/** Picks two teams, one of them with a large limit, whose limits together do not exceed the slots of the workers, so that their limits and not the workers bound their work. */
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
