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
	/** Running tasks, and the queued ones that may start. */
	readonly demand: number;
	/** Exponential moving average of the demand. */
	readonly averageDemand: number;
	/** Time since the demand last filled the whole portion; infinite in a shutdown, when the holder keeps nothing beyond its demand. */
	readonly sinceFullDemandMs: number;
	/** Limit in the holder's catalogue, and the revision of that catalogue. */
	readonly limit: number;
	readonly revision: number;
	/** Holders that are granted nothing: their member records are absent. */
	readonly absent: readonly string[];
	/** Holders whose portions may be reclaimed. */
	readonly reclaimable: readonly string[];
};

/**
 * Average demand, in tasks, for each slot that a holder wants. Up to half of a holder's tasks may wait while its
 * team is at its limit: with one slot for each task, more than 5 % of a limit stayed idle at holders with little demand.
 */
const tasksPerWantedSlot = 2;

/** Excess of the demand over the portion, in tasks, from which a holder wants one more slot, so that other holders return idle portions. */
const minimumExcessForExtraSlot = 4;

/** Divisor of the demand for the slots that a holder takes in advance while no other holder wants them; saves a write for each new task. */
const spareSlotsDivisor = 4;

function computeCount(record: LimitRecord, portion: Portion, request: PortionRequest): number {
	const {holder, running, demand, sinceFullDemandMs} = request;
	const entries = Object.entries(record.portions);
	const free = record.limit - entries.reduce((sum, [, {count}]) => sum + count, 0);
	const contended = entries.some(([name, {wanted, count}]) => name !== holder && wanted > count);
	const current = portion.count;
	const spareSlots = contended || !Number.isFinite(sinceFullDemandMs) ? 0 : Math.ceil(demand / spareSlotsDivisor);
	const needed = demand > current ? demand + spareSlots : demand;
	const neededOrKept = sinceFullDemandMs <= (contended ? contendedPortionRetentionMs : idlePortionRetentionMs) ? Math.max(needed, current) : needed;
	const target = Math.min(neededOrKept, computeFairShare(record, holder), record.limit);
	if (free < 0) {
		// The limit was lowered. No task starts until the portions fit into it, so unused slots are returned at once.
		return Math.max(Math.min(running, current), Math.min(target, current + free));
	}

	if (target > portion.count) {
		return portion.count + Math.max(0, Math.min(target - portion.count, free));
	}

	return Math.min(portion.count, Math.max(running, Math.min(target, current)));
}

/**
 * Computes the record that a holder would write: it applies the limit of a newer catalogue, removes
 * reclaimable holders, and grows the holder's own portion within the free slots or reduces it to what
 * the holder needs. Slots that stay free are granted to the holders that want them, which then need no
 * write of their own.
 *
 * @param record - the record as read
 * @param request - state of the holder
 * @returns the new record; the sum of portions never grows beyond the limit
 * @example
 * const proposal = proposeRecord(cached.record, request);
 */
export function proposeRecord(record: LimitRecord, request: PortionRequest): LimitRecord {
	const {holder, registration, writeNumber, demand, averageDemand, limit, revision, absent, reclaimable} = request;
	const updated = revision > record.revision && limit !== record.limit ? {...record, limit, revision} : record;
	const {[holder]: own, ...present} = updated.portions;
	const others = Object.fromEntries(Object.entries(present).filter(([name]) => !reclaimable.includes(name)));
	const ownCount = own?.count ?? 0;
	// Wants the part of its portion that it uses, and one more slot for a large excess of demand; a slot for every two
	// tasks of the average demand, if that is more; and at least one slot while there is lasting demand.
	const wanted = Math.max(
		Math.min(demand, ownCount + (demand >= ownCount + minimumExcessForExtraSlot ? 1 : 0)),
		Math.round(Math.min(demand, averageDemand) / tasksPerWantedSlot),
		Math.min(demand, Math.round(averageDemand), 1),
	);
	const portion: Portion = {
		count: 0, ...own, wanted: Math.min(wanted, updated.limit), write: writeNumber, registration,
	};
	const count = computeCount({...updated, portions: {...others, [holder]: portion}}, portion, request);
	if (count === 0 && portion.wanted === 0) {
		return grantFreeSlots({...updated, portions: others}, absent);
	}

	return grantFreeSlots({...updated, portions: {...others, [holder]: {...portion, count}}}, [...absent, holder]);
}
