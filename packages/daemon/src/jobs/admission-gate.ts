import {admissionRecordSchema} from '@rosemaryquay/core/jobs/admission/admission-record';
import {type AdmissionDecision, decideAdmission} from '@rosemaryquay/core/jobs/admission/decide-admission';
import {maximumRecordAgeMs} from '@rosemaryquay/core/jobs/admission/maximum-record-age-ms';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {z} from 'zod';
import {parseStoredValue} from './parse-stored-value.js';

/** `fence`: revision of the entry of the owner that wrote the record. */
const storedRecordSchema = admissionRecordSchema.extend({fence: z.number()});

type StoredRecord = z.infer<typeof storedRecordSchema>;

/** Monotonic local time and wall-clock time of an answer of the store, both in milliseconds. */
type AnswerTime = {readonly now: number; readonly timeOfDay: number};

/** Admission on an entry instance: keeps the admission record that the store returned last, and decides by it. */
export class AdmissionGate {
	#record: StoredRecord | undefined;
	#revision = 0;
	#value: string | undefined;
	/** Local time until which the record counts. It never moves back while the record stays, so a record that no longer counts never counts again. */
	#validUntil = Number.NEGATIVE_INFINITY;

	/** Store revision of the record that decisions are based on; 0 for none. */
	get revision(): number {
		return this.#revision;
	}

	/**
	 * Adopts the record in an answer of the store. A record of another process than the present owner does not count.
	 *
	 * @param record - entry of the admission record; undefined if there is none
	 * @param owner - entry of the owner of the schedule in the same answer; undefined if there is none
	 * @param time - time of the answer
	 */
	adopt(record: Entry | undefined, owner: Entry | undefined, {now, timeOfDay}: AnswerTime): void {
		const revision = record?.modRevision ?? 0;
		// A store restored from an older state assigns the same revisions again.
		if (revision !== this.#revision || record?.value !== this.#value) {
			this.#revision = revision;
			this.#value = record?.value;
			this.#record = record === undefined ? undefined : parseStoredValue(storedRecordSchema, record.value);
			const ageMs = timeOfDay - (this.#record?.publishedAtMs ?? 0);
			// A record from the future shows that the clocks differ by more than its lifetime.
			this.#validUntil = ageMs < -maximumRecordAgeMs ? Number.NEGATIVE_INFINITY : now + maximumRecordAgeMs - Math.max(0, ageMs);
		}

		if (this.#record?.fence !== owner?.modRevision) {
			this.#validUntil = Number.NEGATIVE_INFINITY;
		}
	}

	/** Decides whether to admit a new job. Every job is admitted while the record does not count at the local time `now`. */
	decide(job: Job, now: number): AdmissionDecision {
		return decideAdmission(now > this.#validUntil ? undefined : this.#record, job);
	}
}
