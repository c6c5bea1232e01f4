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

/** Operators' requests and state of the schedule, as the store holds them. */
export type FleetSnapshot = {
	readonly operators: OperatorState;
	/** Record of the owner of the schedule; undefined when there is none or it is not valid JSON. */
	readonly owner: unknown;
	/** Store revision of that record: the fencing token of the owner's orders. */
	readonly ownerRevision: number | undefined;
	readonly term: number;
	/** Workers that an owner of the schedule may have given tasks to. */
	readonly holders: readonly string[];
	/** Summary of the waiting jobs of each queue, as the owner last published it. */
	readonly waiting: unknown;
};

/** Result of reading the store; `detail` says why it could not be read. */
export type ReadResult<Value> = {readonly ok: true; readonly value: Value} | {readonly ok: false; readonly detail: string};

/**
 * Reads the operators' requests and the state of the schedule from the store.
 *
 * @param platform - the platform
 * @returns what the store holds, or why it could not be read; never rejects
 * @example
 * const snapshot = await readFleet(platform);
 */
export async function readFleet(platform: Platform): Promise<ReadResult<FleetSnapshot>> {
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
			operators: platform.operatorFormat.decode(entries.values()),
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
