/**
 * State of the idempotency claims of one node, and the records that it keeps in the store.
 */
import {z} from 'zod';

/** A worker's whole answer; `body` is base64. */
export const recordedAnswerSchema = z.strictObject({
	status: z.int().min(100).max(599),
	contentType: z.string(),
	body: z.string(),
});

/** `open`: may be running. `answered`: ran and was answered. `unknown`: ended with an unknown outcome. */
export const claimRecordSchema = z.strictObject({
	key: z.string(),
	fingerprint: z.string(),
	/** Identifier of the claim; a lost store answer is resolved by finding it. */
	claim: z.string(),
	holder: z.string(),
	state: z.enum(['open', 'answered', 'unknown']),
	/** Deadline of the request, in milliseconds since the epoch; retention counts from it. */
	deadlineAt: z.number(),
	answer: recordedAnswerSchema.optional(),
});

export const bucketSchema = z.array(claimRecordSchema);

export type RecordedAnswer = z.infer<typeof recordedAnswerSchema>;
export type ClaimRecord = z.infer<typeof claimRecordSchema>;

/** A change of one claim that waits for the store. */
export type ClaimUpdate = {
	readonly type: 'claim' | 'settle' | 'release';
	readonly taskId: string;
	readonly storeKey: string;
	readonly record: ClaimRecord;
	/** Writes sent so far; a claim that was sent may be in the store. */
	sent: number;
};

/** Content of one store key when it was last seen; `records` is absent when it could not be parsed. */
export type Bucket = {
	readonly modRevision: number;
	readonly records?: ReadonlyMap<string, ClaimRecord>;
};

/** What becomes of an update if the store still has what the batch was computed from. */
export type Verdict =
	| {readonly type: 'applied'}
	| {readonly type: 'blocked'; readonly by: ClaimRecord}
	| {readonly type: 'rejected'};

export type ClaimBatch = {
	readonly id: string;
	readonly results: ReadonlyArray<{readonly update: ClaimUpdate; readonly verdict: Verdict}>;
	readonly storeKeys: readonly string[];
	/** New content of the changed buckets. */
	readonly written: ReadonlyMap<string, ReadonlyMap<string, ClaimRecord>>;
};

export type KeptAnswer = {
	readonly fingerprint: string;
	readonly answer: RecordedAnswer;
	readonly expiresAt: number;
};

export type Deduplication = {
	/** Prefix of the system's keys in the store. */
	readonly prefix: string;
	/** Milliseconds since the epoch at time 0 of the process's monotonic clock. */
	readonly clockOriginMs: number;
	/** Updates by claim identifier, oldest first. */
	readonly pending: Map<string, ClaimUpdate>;
	readonly buckets: Map<string, Bucket>;
	/** Identifier of the unfinished task of this node by claim key. */
	readonly active: Map<string, string>;
	/** Answers by claim key, oldest first. */
	readonly answers: Map<string, KeptAnswer>;
	answersLength: number;
	batch?: ClaimBatch;
	nextBatch: number;
	/** Earliest time of the next write. */
	writeAt: number;
	/** Earliest time of the next write that no request waits for, and the same after a failure. */
	settleAt: number;
	retryAt: number;
	/** Batches in a row that lost a race with another instance. */
	conflicts: number;
};
