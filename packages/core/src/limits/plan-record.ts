import {
	demandAverageMs, portionPollMs, portionPollPerTeamMs, portionUrgentPollMs,
} from '../constants.js';
import {type Node} from '../node/node.js';
import {countNeed} from './count-need.js';
import {listVanished} from './list-vanished.js';
import {type HeldPortion} from './limits.js';
import {proposeRecord} from './propose-record.js';
import {type LimitRecord} from './record.js';

/** What a team's record needs from the next store call. */
export type Plan = {
	readonly proposal?: LimitRecord;
	readonly vanished: readonly string[];
};

/** Relative change of the demand that other holders have to learn of. */
const demandChange = 0.25;

/** Whether the other holders have to learn of the demand. */
function isDemandNews(before: LimitRecord, after: LimitRecord, holder: string): boolean {
	const {wanted: earlier = 0, count = 0} = before.portions[holder] ?? {};
	const {wanted: now = 0} = after.portions[holder] ?? {};
	if ((earlier > count) !== (now > count)) {
		return true;
	}

	const total = Object.values(after.portions).reduce((sum, {wanted}) => sum + wanted, 0);
	return total > after.limit && Math.abs(now - earlier) > Math.max(1, earlier * demandChange);
}

function isWriteDue(before: LimitRecord, after: LimitRecord, holder: string): boolean {
	const [own, next] = [before.portions[holder], after.portions[holder]];
	return own?.count !== next?.count || own?.registration !== next?.registration || before.limit !== after.limit;
}

function pollInterval(node: Node, need: number, granted: number): number {
	if (need > granted) {
		return portionUrgentPollMs;
	}

	return granted > 0 ? Math.max(portionPollMs, node.limits.teams.size * portionPollPerTeamMs) : Number.POSITIVE_INFINITY;
}

/** Whether nothing can be due before the next poll: the need is met, and no other holder claims a part. */
function isQuiet({id, limits, tasks}: Node, {view, uncertain}: HeldPortion, need: number): boolean {
	const own = view?.record.portions[id];
	return own?.registration === limits.liveness.registration && need <= own.count && view?.pressed === false
		&& view.free >= 0 && uncertain === undefined && !tasks.shuttingDown;
}

function observeDemand(node: Node, held: HeldPortion, need: number): void {
	const {now} = node.limits;
	held.demand += (need - held.demand) * (1 - Math.exp((held.demandAt - now) / demandAverageMs));
	held.demandAt = now;
	if (need >= (held.view?.record.portions[node.id]?.count ?? 0)) {
		held.neededAt = now;
	}
}

function propose(node: Node, team: string, held: HeldPortion, options: {record: LimitRecord; vanished: readonly string[]}): LimitRecord {
	const {limits, snapshot, tasks} = node;
	const {record, vanished} = options;
	return proposeRecord(record, {
		holder: node.id,
		registration: limits.liveness.registration,
		write: limits.writes + 1,
		running: limits.running.get(team) ?? 0,
		need: countNeed(node, team),
		demand: held.demand,
		idleMs: tasks.shuttingDown ? Number.POSITIVE_INFINITY : limits.now - held.neededAt,
		limit: snapshot.catalogue.teams[team]?.limits.running ?? 0,
		revision: snapshot.revision,
		absent: Object.keys(record.portions).filter(name => !limits.liveness.present.has(name)),
		vanished,
	});
}

/**
 * Decides what the next store call has to do for a team.
 *
 * @param node - the node
 * @param team - name of the team
 * @param held - what the node knows of its portion; its demand is updated
 * @returns a record to write, or only a wish to read; `undefined` when nothing is due
 * @example
 * const plan = planRecord(node, 'team-a', held);
 */
export function planRecord(node: Node, team: string, held: HeldPortion): Plan | undefined {
	const {limits} = node;
	const {view} = held;
	const need = countNeed(node, team);
	if (view === undefined || held.lost !== undefined) {
		const wanted = need > 0 || held.lost !== undefined;
		return wanted && limits.now - held.calledAt >= portionUrgentPollMs ? {vanished: []} : undefined;
	}

	const own = view.record.portions[node.id];
	observeDemand(node, held, need);
	if (own === undefined && need === 0) {
		// A write that may still take effect is ruled out by writing the record unchanged.
		return held.uncertain === undefined ? undefined : {proposal: view.record, vanished: []};
	}

	if (isQuiet(node, held, need) && limits.now - held.plannedAt < portionPollMs) {
		return undefined;
	}

	held.plannedAt = limits.now;
	const vanished = listVanished(node, view.record);
	const proposal = propose(node, team, held, {record: view.record, vanished});
	const due = vanished.length > 0 || held.uncertain !== undefined || isWriteDue(view.record, proposal, node.id);
	if (due || (limits.now - held.calledAt >= portionUrgentPollMs && isDemandNews(view.record, proposal, node.id))) {
		return {proposal, vanished};
	}

	return limits.now - view.at >= pollInterval(node, need, own?.count ?? 0) ? {vanished: []} : undefined;
}
