import {type AdmissionRecord, admissionRecordSchema} from '@rosemaryquay/core/jobs/admission/admission-record';
import {type AdmissionDecision, decideAdmission} from '@rosemaryquay/core/jobs/admission/decide-admission';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {parseStoredValue} from './parse-stored-value.js';
import {ReturnSchedule} from './return-schedule.js';

/** Admission on an entry instance: keeps the last known admission record and its revision, and decides by them. */
export class AdmissionGate {
	readonly #returns = new ReturnSchedule();
	#record: AdmissionRecord | undefined;
	#revision = 0;
	#knownAtRevision = 0;

	/** Store revision of the record that decisions are based on; 0 for none. */
	get revision(): number {
		return this.#revision;
	}

	/**
	 * Adopts the record that a call to the store returned, unless a later one is known.
	 *
	 * @param entry - entry of the record; undefined if there is none
	 * @param storeRevision - revision of the store at which it was read
	 */
	adopt(entry: Entry | undefined, storeRevision: number): void {
		if (storeRevision < this.#knownAtRevision) {
			return;
		}

		this.#knownAtRevision = storeRevision;
		this.#revision = entry?.modRevision ?? 0;
		this.#record = entry === undefined ? undefined : parseStoredValue(admissionRecordSchema, entry.value);
	}

	/** Decides whether to admit a new job, by the wall-clock time in milliseconds. */
	decide(job: Job, timeOfDay: number): AdmissionDecision {
		return decideAdmission(this.#record, job, {timeOfDay});
	}

	/** Gives a refused caller its place in the order of returns. Returns the `Retry-After` in seconds. */
	scheduleReturn(queue: string, {roomInMs, serviceMs}: Extract<AdmissionDecision, {type: 'refuse'}>, now: number): number {
		return this.#returns.add({
			queue, roomInMs, serviceMs, now,
		});
	}
}
