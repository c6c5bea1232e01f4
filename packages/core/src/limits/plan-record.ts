import {
	demandAverageMs, portionPollIntervalMs, portionPollIntervalPerTeamMs, unmetDemandPollIntervalMs,
} from '../constants.js';
import {type Node} from '../node/node.js';
import {countDemand} from './count-demand.js';
import {listReclaimableHolders} from './list-reclaimable-holders.js';
import {type PortionState} from './limits.js';
import {proposeRecord} from './propose-record.js';
import {type LimitRecord} from './record.js';

/** What the next store call has to do with a team's record: write `proposal`, or only read it. */
export type Plan = {
	readonly proposal?: LimitRecord;
	readonly reclaimable: readonly string[];
};

/** Relative change of the wanted slots from which the record is written for the other holders to see. */
const significantChange = 0.25;

/**
 * Whether the wanted slots have changed so much that the other holders have to see it: the holder begins or ceases to
 * want more than it has, or, while the limit does not cover what all holders want, the change is significant.
 */
function isWantedChangeSignificant(before: LimitRecord, after: LimitRecord, holder: string): boolean {
	const {wanted: wantedBefore = 0, count = 0} = before.portions[holder] ?? {};
	const {wanted: wantedAfter = 0} = after.portions[holder] ?? {};
	if ((wantedBefore > count) !== (wantedAfter > count)) {
		return true;
	}

	const total = Object.values(after.portions).reduce((sum, {wanted}) => sum + wanted, 0);
	return total > after.limit && Math.abs(wantedAfter - wantedBefore) > Math.max(1, wantedBefore * significantChange);
}

function isWriteDue(before: LimitRecord, after: LimitRecord, holder: string): boolean {
	const [own, next] = [before.portions[holder], after.portions[holder]];
	return own?.count !== next?.count || own?.registration !== next?.registration || before.limit !== after.limit;
}

function pollInterval(node: Node, demand: number, granted: number): number {
	if (demand > granted) {
		return unmetDemandPollIntervalMs;
	}

	return granted > 0 ? Math.max(portionPollIntervalMs, node.limits.teams.size * portionPollIntervalPerTeamMs) : Number.POSITIVE_INFINITY;
}

/** Whether nothing can be due before the next poll: the portion covers the demand, and no other holder wants more than it has. */
function isStable({id, limits, tasks}: Node, {cached, pendingWrites}: PortionState, demand: number): boolean {
	const own = cached?.record.portions[id];
	return own?.registration === limits.liveness.registration && demand <= own.count && cached?.contended === false
		&& cached.freeSlots >= 0 && pendingWrites === undefined && !tasks.shuttingDown;
}

function updateAverageDemand(node: Node, state: PortionState, demand: number): void {
	const {now} = node.limits;
	state.averageDemand += (demand - state.averageDemand) * (1 - Math.exp((state.averagedAt - now) / demandAverageMs));
	state.averagedAt = now;
	if (demand >= (state.cached?.record.portions[node.id]?.count ?? 0)) {
		state.lastFullDemandAt = now;
	}
}

function propose(node: Node, team: string, state: PortionState, options: {record: LimitRecord; reclaimable: readonly string[]}): LimitRecord {
	const {limits, snapshot, tasks} = node;
	const {record, reclaimable} = options;
	return proposeRecord(record, {
		holder: node.id,
		registration: limits.liveness.registration,
		writeNumber: limits.lastWriteNumber + 1,
		running: limits.running.get(team) ?? 0,
		demand: countDemand(node, team),
		averageDemand: state.averageDemand,
		sinceFullDemandMs: tasks.shuttingDown ? Number.POSITIVE_INFINITY : limits.now - state.lastFullDemandAt,
		limit: snapshot.catalogue.teams[team]?.limits.running ?? 0,
		revision: snapshot.revision,
		absent: Object.keys(record.portions).filter(name => !limits.liveness.present.has(name)),
		reclaimable,
	});
}

/**
 * Decides what the next store call has to do for a team.
 *
 * @param node - the node
 * @param team - name of the team
 * @param state - the node's portion; its average demand and the times of its last updates change
 * @returns a record to write, or a plan without a proposal to read the record; `undefined` when nothing is due
 * @example
 * const plan = planRecord(node, 'team-a', state);
 */
export function planRecord(node: Node, team: string, state: PortionState): Plan | undefined {
	const {limits} = node;
	const {cached} = state;
	const demand = countDemand(node, team);
	if (cached === undefined || state.unresolved !== undefined) {
		const isReadWanted = demand > 0 || state.unresolved !== undefined;
		return isReadWanted && limits.now - state.calledAt >= unmetDemandPollIntervalMs ? {reclaimable: []} : undefined;
	}

	const own = cached.record.portions[node.id];
	updateAverageDemand(node, state, demand);
	if (own === undefined && demand === 0) {
		// Writing the record unchanged raises its revision, so that a pending write can no longer take effect.
		return state.pendingWrites === undefined ? undefined : {proposal: cached.record, reclaimable: []};
	}

	if (isStable(node, state, demand) && limits.now - state.plannedAt < portionPollIntervalMs) {
		return undefined;
	}

	state.plannedAt = limits.now;
	const reclaimable = listReclaimableHolders(node, cached.record);
	const proposal = propose(node, team, state, {record: cached.record, reclaimable});
	const due = reclaimable.length > 0 || state.pendingWrites !== undefined || isWriteDue(cached.record, proposal, node.id);
	if (due || (limits.now - state.calledAt >= unmetDemandPollIntervalMs && isWantedChangeSignificant(cached.record, proposal, node.id))) {
		return {proposal, reclaimable};
	}

	return limits.now - cached.updatedAt >= pollInterval(node, demand, own?.count ?? 0) ? {reclaimable: []} : undefined;
}
