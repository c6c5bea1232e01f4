/**
 * State of the idempotency claims of one node, and the claim records in the store.
 */
import {z} from 'zod';

/** A worker's complete answer; `body` is base64. */
export const recordedAnswerSchema = z.strictObject({
	status: z.int().min(100).max(599),
	contentType: z.string(),
	body: z.string(),
});

/**
 * The claim of one idempotency key. `open`: the request may be running. `answered`: it ran and was
 * answered. `unknown`: it ended with an unknown outcome.
 */
export const claimRecordSchema = z.strictObject({
	key: z.string(),
	fingerprint: z.string(),
	/** Identifier of the claim; after a lost store answer, finding it in the record shows that the write took effect. */
	claim: z.string(),
	/** Member that is responsible for the request. */
	holder: z.string(),
	state: z.enum(['open', 'answered', 'unknown']),
	/** Deadline of the request, in milliseconds since the epoch; retention counts from it. */
	deadlineAt: z.number(),
	answer: recordedAnswerSchema.optional(),
});

export const bucketSchema = z.array(claimRecordSchema);

export type RecordedAnswer = z.infer<typeof recordedAnswerSchema>;
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** A change of one claim that has to be written to the store. `claim` claims the key; `complete` records how the request ended; `release` deletes the claim of a request that did not run. */
export type ClaimUpdate = {
	readonly type: 'claim' | 'complete' | 'release';
	readonly taskId: string;
	readonly storeKey: string;
	readonly record: ClaimRecord;
	/** Writes sent so far; after the first one the claim may be in the store. */
	writesSent: number;
};

/** Last known content of one store key; `records` is absent when the content is malformed. */
export type Bucket = {
	readonly modRevision: number;
	readonly records?: ReadonlyMap<string, ClaimRecord>;
};

/**
 * Outcome of an update if the store still has the content that the batch was computed from. `blocked`: another
 * submission holds the key. `rejected`: the bucket is full or malformed.
 */
export type UpdateOutcome =
	| {readonly type: 'applied'}
	| {readonly type: 'blocked'; readonly by: ClaimRecord}
	| {readonly type: 'rejected'};

/** The updates of one store transaction. */
export type ClaimBatch = {
	readonly id: string;
	readonly results: ReadonlyArray<{readonly update: ClaimUpdate; readonly outcome: UpdateOutcome}>;
	readonly storeKeys: readonly string[];
	/** New content of the changed buckets, by store key. */
	readonly writtenBuckets: ReadonlyMap<string, ReadonlyMap<string, ClaimRecord>>;
};

/** An answer kept in this process for duplicate submissions. */
export type CachedAnswer = {
	readonly fingerprint: string;
	readonly answer: RecordedAnswer;
	readonly expiresAt: number;
};

export type Deduplication = {
	/** Prefix of all store keys. */
	readonly prefix: string;
	/** Time since the epoch, in milliseconds, at time 0 of the process's monotonic clock. */
	readonly clockOriginMs: number;
	/** Updates to be written, by claim identifier, oldest first. */
	readonly pending: Map<string, ClaimUpdate>;
	/** Last known buckets by store key, least recently read or written first. */
	readonly buckets: Map<string, Bucket>;
	/** Identifiers of the tasks of this node that have not ended, by claim key. */
	readonly active: Map<string, string>;
	/** Cached answers by claim key, oldest first. */
	readonly cachedAnswers: Map<string, CachedAnswer>;
	cachedAnswerCharacters: number;
	/** Batch whose transaction is in flight. */
	batch?: ClaimBatch;
	nextBatchNumber: number;
	/** Earliest time of the next write. */
	writeAt: number;
	/** Earliest time of the next write that no request waits for. */
	completionWriteAt: number;
	/** Earliest time of the next write that no request waits for, after a failed write. */
	retryAt: number;
	/** Batches in a row that failed because another process had changed a bucket. */
	conflicts: number;
};
