import {contendedPortionMs, idlePortionMs} from '../constants.js';
import {fairTarget} from './fair-target.js';
import {grantFree} from './grant-free.js';
import {type LimitRecord, type Portion} from './record.js';

/** What a holder asks of a record. */
export type Request = {
	readonly holder: string;
	readonly registration: string;
	/** Number of this write. */
	readonly write: number;
	readonly running: number;
	/** Running and waiting tasks. */
	readonly need: number;
	/** Average of the need over some time. */
	readonly demand: number;
	/** Time since the whole portion was needed; infinite when nothing is to be kept. */
	readonly idleMs: number;
	/** Limit in the holder's catalogue, and its revision. */
	readonly limit: number;
	readonly revision: number;
	/** Holders that get nothing: their members were seen absent. */
	readonly absent: readonly string[];
	/** Holders whose portions may be reclaimed. */
	readonly vanished: readonly string[];
};

/**
 * Running and waiting tasks for each task that a holder claims from others. Half of the tasks of a
 * holder may wait while its team is at its limit; claiming room for all of them left more than a
 * twentieth of a limit idle at holders with little demand.
 */
const tasksPerClaim = 2;

/** Waiting tasks with which a holder claims one more, so that idle portions of others return. */
const queueForClaim = 4;

/** Part of the need that is taken in addition while the limit is not fully used; saves a write for each new task. */
const spareDivisor = 4;

function chooseCount(record: LimitRecord, portion: Portion, request: Request): number {
	const {holder, running, need, idleMs} = request;
	const entries = Object.entries(record.portions);
	const free = record.limit - entries.reduce((sum, [, {count}]) => sum + count, 0);
	const pressed = entries.some(([name, {wanted, count}]) => name !== holder && wanted > count);
	const held = portion.count;
	const spare = pressed || !Number.isFinite(idleMs) ? 0 : Math.ceil(need / spareDivisor);
	const wanted = need > held ? need + spare : need;
	const kept = idleMs <= (pressed ? contendedPortionMs : idlePortionMs) ? Math.max(wanted, held) : wanted;
	const desired = Math.min(kept, fairTarget(record, holder), record.limit);
	if (free < 0) {
		// The limit was lowered. Nothing starts before the portions fit it, so idle parts go back at once.
		return Math.max(Math.min(running, held), Math.min(desired, held + free));
	}

	if (desired > portion.count) {
		return portion.count + Math.max(0, Math.min(desired - portion.count, free));
	}

	return Math.min(portion.count, Math.max(running, Math.min(desired, held)));
}

/**
 * Computes the record that a holder would write: limit in force, vanished holders removed, and the
 * holder's own portion grown within what is free, or reduced to what it needs. What it leaves free
 * goes to the holders that claim it, who then need no write of their own.
 *
 * @param record - the record as read
 * @param request - what the holder asks
 * @returns the new record; the sum of portions grows only up to the limit
 * @example
 * const proposal = proposeRecord(view.record, request);
 */
export function proposeRecord(record: LimitRecord, request: Request): LimitRecord {
	const {holder, registration, write, need, demand, limit, revision, absent, vanished} = request;
	const inForce = revision > record.revision && limit !== record.limit ? {...record, limit, revision} : record;
	const {[holder]: own, ...present} = inForce.portions;
	const others = Object.fromEntries(Object.entries(present).filter(([name]) => !vanished.includes(name)));
	const held = own?.count ?? 0;
	const claim = Math.max(Math.min(need, held + (need >= held + queueForClaim ? 1 : 0)), Math.round(Math.min(need, demand) / tasksPerClaim), Math.min(need, Math.round(demand), 1));
	const portion: Portion = {
		count: 0, ...own, wanted: Math.min(claim, inForce.limit), write, registration,
	};
	const count = chooseCount({...inForce, portions: {...others, [holder]: portion}}, portion, request);
	if (count === 0 && portion.wanted === 0) {
		return grantFree({...inForce, portions: others}, absent);
	}

	return grantFree({...inForce, portions: {...others, [holder]: {...portion, count}}}, [...absent, holder]);
}
