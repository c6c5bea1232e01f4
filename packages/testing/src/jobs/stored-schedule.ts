import {type StoreWrite} from '@rosemaryquay/core/jobs/state/effect';
import {type Job, type JobEnd, type Progress} from '@rosemaryquay/core/jobs/state/job-schema';
import {type LeaseHolder} from '@rosemaryquay/core/jobs/state/scheduler';

/** A job with its progress and end, as the store holds them. */
export type StoredJob = {readonly job: Job; progress?: Progress; end?: JobEnd; isCancelled: boolean};

/** State of the schedule in the modelled store, from which the next owner recovers. */
export class StoredSchedule {
	readonly jobs = new Map<string, StoredJob>();
	readonly doneInstances = new Map<number, readonly string[]>();
	holders: readonly LeaseHolder[] = [];
	/** Summary of what the owner has learned. */
	estimates: string | undefined;

	readonly #handlers: {[Type in StoreWrite['type']]: (write: Extract<StoreWrite, {type: Type}>) => void} = {
		holders: ({holders}) => {
			this.holders = holders;
		},
		estimates: ({summary}) => {
			this.estimates = summary;
		},
		wave: ({wave, done}) => {
			this.doneInstances.set(wave, done);
		},
		progress: ({job, progress}) => {
			const stored = this.jobs.get(job);
			if (stored !== undefined) {
				stored.progress = structuredClone(progress);
			}
		},
		end: ({job, end}) => {
			const stored = this.jobs.get(job);
			if (stored !== undefined) {
				stored.end = end;
			}
		},
	};

	/**
	 * Gets a submitted job.
	 *
	 * @param id - identifier of the job
	 * @returns the job
	 * @throws {Error} when the job was never submitted
	 */
	getJob(id: string): Job {
		const stored = this.jobs.get(id);
		if (stored === undefined) {
			throw new Error(`Job ${id} was never submitted`);
		}

		return stored.job;
	}

	write(writes: readonly StoreWrite[]): void {
		for (const write of writes) {
			const handler = this.#handlers[write.type] as (write: StoreWrite) => void;
			handler(write);
		}
	}
}
