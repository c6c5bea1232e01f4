import {type Node} from '@rosemaryquay/core/node/node';
import {findMinimumRevision} from '@rosemaryquay/core/membership/find-minimum-revision';
import {isFresh} from '@rosemaryquay/core/freshness/is-fresh';
import {type Metrics} from '../create-metrics.js';
import {type OperatorRoute} from './operator-request.js';

/** Outcome of a recent request, as shown to operators. */
export type RequestOutcome = {
	readonly at: string;
	readonly outcome: string;
	readonly execution?: string;
	readonly detail?: string;
};

type StateOptions = {
	readonly node: Node;
	readonly metrics: Metrics;
	now(): number;
	findRequestOutcome(requestId: string): RequestOutcome | undefined;
};

function describeMembers(node: Node, now: number): unknown[] {
	const own = {
		member: node.id, zone: node.zone, revision: node.snapshot.revision, summaryAgeMs: 0,
	};
	const others = [...node.membership.summaries.values()].map(({summary, receivedAt}) => ({
		member: summary.member, zone: summary.zone, revision: summary.revision, summaryAgeMs: Math.round(now - receivedAt), storeContactAgeMs: summary.storeContactAgeMs,
	}));
	return [own, ...others];
}

function describeShares(node: Node): unknown[] {
	const counts = new Map<string, {running: number; queued: number}>();
	for (const task of node.tasks.byId.values()) {
		const count = counts.get(task.team) ?? {running: 0, queued: 0};
		count[task.state === 'running' ? 'running' : 'queued'] += 1;
		counts.set(task.team, count);
	}

	return Object.entries(node.snapshot.catalogue.teams).map(([team, {share, limits}]) => ({
		team, share, upperLimit: limits.running, ...(counts.get(team) ?? {running: 0, queued: 0}),
	}));
}

/**
 * Lists the routes that show the state of this process.
 *
 * @param options - the node, metrics, clock and a lookup of recent requests
 * @returns the routes
 * @example
 * mountRoutes(router, {routes: listStateRoutes(options), logger, snapshot});
 */
export function listStateRoutes(options: StateOptions): OperatorRoute[] {
	const {node, metrics, now, findRequestOutcome} = options;
	return [
		{
			method: 'GET', path: '/operator/status', handler: () => ({
				status: 200,
				body: {
					member: node.id,
					zone: node.zone,
					revision: node.snapshot.revision,
					fresh: isFresh(node, now()),
					requests: node.tasks.byId.size,
					workers: node.placement.workers.size,
					counters: Object.fromEntries(metrics.counters),
				},
			}),
		},
		{method: 'GET', path: '/operator/members', handler: () => ({status: 200, body: {revisionInForce: findMinimumRevision(node), members: describeMembers(node, now())}})},
		{method: 'GET', path: '/operator/shares', handler: () => ({status: 200, body: {teams: describeShares(node)}})},
		{
			method: 'GET', path: '/operator/requests/:id', handler({parameters}) {
				const explanation = findRequestOutcome(parameters.id ?? '');
				return explanation === undefined
					? {status: 404, body: {type: 'about:blank', title: 'This instance does not remember the request', status: 404}}
					: {status: 200, body: explanation};
			},
		},
	];
}
