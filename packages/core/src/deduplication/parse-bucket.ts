import {type Entry} from '../store/transaction.js';
import {bucketSchema, type Bucket} from './deduplication.js';

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/**
 * Parses the content of a claim bucket.
 *
 * @param entry - the store entry, `undefined` for an absent key
 * @returns the bucket, without records when the content is not a list of claims
 * @example
 * const bucket = parseBucket(result.entries[0]);
 */
export function parseBucket(entry: Entry | undefined): Bucket {
	if (entry === undefined) {
		return {modRevision: 0, records: new Map()};
	}

	const parsed = bucketSchema.safeParse(parseJson(entry.value));
	return parsed.success
		? {modRevision: entry.modRevision, records: new Map(parsed.data.map(record => [record.key, record]))}
		: {modRevision: entry.modRevision};
}
