import {type Entry} from '@rosemaryquay/core/store/transaction';
import {
	holdersKey, ownerKey, summaryKey, termKey,
} from '@rosemaryquay/daemon/jobs/keys';
import {parseHolders} from '@rosemaryquay/daemon/jobs/parse-holders';
import {type OperatorState, type Platform} from '@rosemaryquay/daemon/jobs/ports';

/** Keys of the state of the schedule. */
const scheduleKeys = {
	owner: ownerKey, term: termKey, holders: holdersKey, summary: summaryKey,
} as const;

/** What the operators have set, and the state of the schedule. The parts are read separately and may be of different moments. */
export type ScheduleState = {
	readonly operatorState: OperatorState;
	/** Record of the owner of the schedule; undefined when there is none or it is not valid JSON. */
	readonly owner: unknown;
	/** Store revision of that record: the fencing token in the calls that the owner makes. */
	readonly ownerRevision: number | undefined;
	readonly term: number;
	/** Workers that may run tasks started by this or an earlier owner of the schedule. */
	readonly holders: readonly string[];
	/** Summary of the waiting jobs of each queue, as the owner last published it. */
	readonly waiting: unknown;
};

/** Result of reading the store; `detail` says why it could not be read. */
export type ReadResult<Value> = {readonly ok: true; readonly value: Value} | {readonly ok: false; readonly detail: string};

/**
 * Reads what the operators have set, and the state of the schedule, from the store.
 *
 * @param platform - the platform
 * @returns what the store holds, or why it could not be read; never rejects
 * @example
 * const state = await readScheduleState(platform);
 */
export async function readScheduleState(platform: Platform): Promise<ReadResult<ScheduleState>> {
	const names = Object.keys(scheduleKeys) as Array<keyof typeof scheduleKeys>;
	const listings = await Promise.all([platform.operatorFormat.prefix, ...names.map(name => scheduleKeys[name])].map(async prefix => platform.store.list(prefix)));
	const entries = new Map<string, Entry>();
	for (const listing of listings) {
		if (!listing.ok) {
			return {ok: false, detail: listing.detail ?? listing.reason};
		}

		for (const entry of listing.value.entries) {
			entries.set(entry.key, entry);
		}
	}

	const owner = entries.get(ownerKey);
	return {
		ok: true,
		value: {
			operatorState: platform.operatorFormat.decode(entries.values()),
			owner: parseJson(owner?.value),
			ownerRevision: owner?.modRevision,
			term: Number(entries.get(termKey)?.value ?? 0),
			holders: parseHolders(entries.get(holdersKey)?.value).map(({id}) => id),
			waiting: parseJson(entries.get(summaryKey)?.value),
		},
	};
}

function parseJson(text: string | undefined): unknown {
	try {
		return text === undefined ? undefined : JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
