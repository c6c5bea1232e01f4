/**
 * Measures upstream requests per caller request when 30 % of attempts fail.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type AttemptOutcome} from '@rosemaryquay/core/node/event';
import {checkBound} from '../check-bound.js';
import {createUserNodes} from '../create-user-nodes.js';
import {type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {Simulation} from '../simulation.js';
import {startNode} from '../start-node.js';

const failureProbability = 0.3;
const requestsPerSecond = 400;
const durationMs = 15_000;
const endMs = 50_000;
const serviceTimeRangeMs = {min: 20, max: 150};

/** Exceeds the number of retries in a run. */
const unlimitedTokens = 1_000_000;

const failures: readonly AttemptOutcome[] = [
	{type: 'failed', status: 500},
	{type: 'lost', cause: 'connection-lost'},
	{type: 'not-started', cause: 'connection-refused'},
];

type Figures = {readonly amplification: number; readonly answeredPart: number; readonly ejections: number};

function runUser(user: User, options: {seed: number; hasRetryBudget: boolean}): Figures {
	const {seed, hasRetryBudget} = options;
	const random = xoroshiro128plus(seed);
	const simulation = new Simulation({
		nodes: createUserNodes(user, {seed}),
		seed,
		worker: {
			slots: 8,
			serviceTimeMs: () => uniformInt(random, serviceTimeRangeMs.min, serviceTimeRangeMs.max),
			outcome: () => (uniformInt(random, 0, 999) < failureProbability * 1000 ? failures[uniformInt(random, 0, failures.length - 1)] : undefined),
		},
	});
	const ids = [...simulation.nodes.keys()];
	for (const id of ids) {
		startNode(simulation, user, id);
	}

	const queues = Object.entries(user.catalogue.queues).filter(([, queue]) => queue.repeatable).map(([name]) => name);
	const hashes = Object.values(user.catalogue.teams).flatMap(team => Object.values(team.keys).slice(0, 1).map(key => key.hash));
	const requests = requestsPerSecond * durationMs / 1000;
	for (let index = 0; index < requests; index++) {
		simulation.at(uniformInt(random, 0, durationMs), () => {
			const nodeId = ids[uniformInt(random, 0, ids.length - 1)] ?? '';
			const node = simulation.nodes.get(nodeId);
			if (!hasRetryBudget && node !== undefined) {
				// The baseline runs without a budget: tokens are refilled before every request. Only experiments may set them directly.
				for (const pool of Object.keys(user.catalogue.pools)) {
					node.retries.retryTokens.set(pool, unlimitedTokens);
				}
			}

			simulation.deliver(nodeId, {
				type: 'request-arrived', arrival: {
					id: `r-${index}`, queue: queues[index % queues.length] ?? '', keyHash: hashes[index % hashes.length] ?? '', bodyBytes: 100, fingerprint: `f-${index}`,
				},
			});
		});
	}

	simulation.run(endMs);
	const count = (name: string): number => simulation.counters.get(name) ?? 0;
	return {amplification: count('attempt.started') / count('request.accepted'), answeredPart: count('request.answered') / requests, ejections: count('worker.ejected')};
}

export const retryAmplification: Experiment = {
	summary: 'Upstream requests per caller request when 30 % of attempts fail, with and without the retry budget',
	run({seed}) {
		const users = listUsers().map(name => loadUser(name));
		const figures = users.map(user => ({user: user.name, budget: runUser(user, {seed, hasRetryBudget: true}), baseline: runUser(user, {seed, hasRetryBudget: false})}));
		return {
			bounds: figures.map(({user, budget}) => checkBound(`upstream requests per caller request, ${user}`, budget.amplification, {comparison: 'atMost', limit: 1.1, unit: 'ratio'})),
			baselines: figures.flatMap(({user, baseline}) => [
				{
					name: 'three attempts without a budget', measure: `upstream requests per caller request, ${user}`, unit: 'ratio', value: baseline.amplification,
				},
				{
					name: 'three attempts without a budget', measure: `answered requests, ${user}`, unit: 'ratio', value: baseline.answeredPart,
				},
			]),
			details: figures,
		};
	},
};
