import {contendedPortionRetentionMs, idlePortionRetentionMs} from '../constants.js';
import {computeFairShare} from './compute-fair-share.js';
import {grantFreeSlots} from './grant-free-slots.js';
import {type LimitRecord, type Portion} from './record.js';

/** State of a holder from which its new portion is computed. */
export type PortionRequest = {
	readonly holder: string;
	readonly registration: string;
	/** Number of this write. */
	readonly writeNumber: number;
	readonly running: number;
	/** Running tasks, and the waiting ones that may start. */
	readonly demand: number;
	/** Exponential moving average of the demand. */
	readonly averageDemand: number;
	/** Time since the demand last filled the whole portion; infinite when the holder keeps nothing beyond its demand. */
	readonly idleMs: number;
	/** Limit in the holder's catalogue, and the revision of that catalogue. */
	readonly limit: number;
	readonly revision: number;
	/** Holders that are granted nothing: their member records are absent. */
	readonly absent: readonly string[];
	/** Holders whose portions may be reclaimed. */
	readonly reclaimable: readonly string[];
};

/**
 * Demand, in tasks, for each slot that a holder claims from other holders. Up to half of a holder's tasks
 * may wait while its team is at its limit: claiming a slot for each of them left more than 5 % of a
 * limit idle at holders with little demand.
 */
const tasksPerClaimedSlot = 2;

/** Number of tasks beyond its portion from which a holder claims one more slot, so that other holders return idle portions. */
const minimumQueuedForClaim = 4;

/** Divisor of the demand for the slots that a holder takes in advance while no other holder claims them; saves a write for each new task. */
const spareSlotsDivisor = 4;

function computeCount(record: LimitRecord, portion: Portion, request: PortionRequest): number {
	const {holder, running, demand, idleMs} = request;
	const entries = Object.entries(record.portions);
	const free = record.limit - entries.reduce((sum, [, {count}]) => sum + count, 0);
	const contended = entries.some(([name, {wanted, count}]) => name !== holder && wanted > count);
	const held = portion.count;
	const spareSlots = contended || !Number.isFinite(idleMs) ? 0 : Math.ceil(demand / spareSlotsDivisor);
	const wanted = demand > held ? demand + spareSlots : demand;
	const kept = idleMs <= (contended ? contendedPortionRetentionMs : idlePortionRetentionMs) ? Math.max(wanted, held) : wanted;
	const desired = Math.min(kept, computeFairShare(record, holder), record.limit);
	if (free < 0) {
		// The limit was lowered. No task starts until the portions fit into it, so unused slots are returned at once.
		return Math.max(Math.min(running, held), Math.min(desired, held + free));
	}

	if (desired > portion.count) {
		return portion.count + Math.max(0, Math.min(desired - portion.count, free));
	}

	return Math.min(portion.count, Math.max(running, Math.min(desired, held)));
}

/**
 * Computes the record that a holder would write: it applies the limit of a newer catalogue, removes
 * reclaimable holders, and grows the holder's own portion within the free slots or reduces it to what
 * the holder needs. Slots that stay free are granted to the holders that claim them, which then need no
 * write of their own.
 *
 * @param record - the record as read
 * @param request - state of the holder
 * @returns the new record; the sum of portions never grows beyond the limit
 * @example
 * const proposal = proposeRecord(cached.record, request);
 */
export function proposeRecord(record: LimitRecord, request: PortionRequest): LimitRecord {
	const {holder, registration, writeNumber: write, demand, averageDemand, limit, revision, absent, reclaimable} = request;
	const current = revision > record.revision && limit !== record.limit ? {...record, limit, revision} : record;
	const {[holder]: own, ...present} = current.portions;
	const others = Object.fromEntries(Object.entries(present).filter(([name]) => !reclaimable.includes(name)));
	const held = own?.count ?? 0;
	const claim = Math.max(
		Math.min(demand, held + (demand >= held + minimumQueuedForClaim ? 1 : 0)),
		Math.round(Math.min(demand, averageDemand) / tasksPerClaimedSlot),
		Math.min(demand, Math.round(averageDemand), 1),
	);
	const portion: Portion = {
		count: 0, ...own, wanted: Math.min(claim, current.limit), write, registration,
	};
	const count = computeCount({...current, portions: {...others, [holder]: portion}}, portion, request);
	if (count === 0 && portion.wanted === 0) {
		return grantFreeSlots({...current, portions: others}, absent);
	}

	return grantFreeSlots({...current, portions: {...others, [holder]: {...portion, count}}}, [...absent, holder]);
}
