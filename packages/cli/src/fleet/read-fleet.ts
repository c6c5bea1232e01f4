import {type Entry} from '@rosemaryquay/core/store/transaction';
import {
	holdersKey, ownerKey, summaryKey, termKey,
} from '@rosemaryquay/daemon/jobs/keys';
import {parseHolders} from '@rosemaryquay/daemon/jobs/parse-holders';
import {type OperatorState, type Platform} from '@rosemaryquay/daemon/jobs/ports';

/** Prefixes that are read, by what they hold. */
const prefixes = {
	owner: ownerKey, term: termKey, holders: holdersKey, summary: summaryKey,
} as const;

export type FleetView = {
	readonly operators: OperatorState;
	readonly owner: unknown;
	readonly ownerRevision: number | undefined;
	readonly term: number;
	readonly holders: readonly string[];
	readonly waiting: unknown;
};

export type Reading<Value> = {readonly ok: true; readonly value: Value} | {readonly ok: false; readonly detail: string};

/**
 * Reads the operators' requests and the state of the schedule from the store.
 *
 * @param platform - the platform
 * @returns what the store holds, or why it could not be read; never rejects
 * @example
 * const view = await readFleet(platform);
 */
export async function readFleet(platform: Platform): Promise<Reading<FleetView>> {
	const names = Object.keys(prefixes) as Array<keyof typeof prefixes>;
	const listings = await Promise.all([platform.operatorFormat.prefix, ...names.map(name => prefixes[name])].map(async prefix => platform.store.list(prefix)));
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
