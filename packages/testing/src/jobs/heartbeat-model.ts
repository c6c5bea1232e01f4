import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';
import {type WorkerModel} from './worker-model.js';

/** Interval at which workers renew their entry in the store, which drops it after three missed heartbeats. */
const heartbeatIntervalMs = 1500;

type Fleet = {
	readonly now: number;
	readonly workers: ReadonlyMap<string, WorkerModel>;
	/** Workers that write no heartbeats. */
	readonly silentWorkers: ReadonlySet<string>;
	/** Workers whose heartbeats do not reach the store. */
	readonly unlistedWorkers: ReadonlySet<string>;
	at(time: number, action: () => void): void;
	dispatch(event: SchedulerEvent): void;
};

/** Model of the entries of workers in the store: a reachable worker renews its entry; the entry is removed after three intervals without a heartbeat. */
export class HeartbeatModel {
	readonly #fleet: Fleet;
	readonly #entries = new Map<string, {readonly listing: ListedWorker; readonly writtenAt: number}>();

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	/** Finds what the store lists for a worker, which may be an earlier incarnation. */
	findListing(worker: WorkerModel): ListedWorker | undefined {
		const {id} = worker.listing;
		return this.#fleet.unlistedWorkers.has(id) ? this.#entries.get(id)?.listing : worker.listing;
	}

	/** Tells whether the store has an entry of a worker. */
	isListed(id: string): boolean {
		return this.#entries.has(id);
	}

	/** Writes the entry of a worker and starts its heartbeats; they end when another incarnation replaces it. */
	start(worker: WorkerModel): void {
		this.#write(worker);
		this.#beat(worker);
	}

	/** Removes the entry of a worker. */
	remove(id: string): void {
		this.#entries.delete(id);
		this.#fleet.dispatch({type: 'worker-unlisted', id});
	}

	#write({listing}: WorkerModel): void {
		const fleet = this.#fleet;
		if (!fleet.unlistedWorkers.has(listing.id)) {
			this.#entries.set(listing.id, {listing, writtenAt: fleet.now});
			fleet.dispatch({type: 'worker-listed', worker: listing});
		}
	}

	#beat(worker: WorkerModel): void {
		const fleet = this.#fleet;
		const {id} = worker.listing;
		if (fleet.workers.get(id) !== worker) {
			return;
		}

		if (worker.isAlive && !fleet.silentWorkers.has(id) && !fleet.unlistedWorkers.has(id)) {
			this.#write(worker);
		} else if (fleet.now - (this.#entries.get(id)?.writtenAt ?? Number.NEGATIVE_INFINITY) >= 3 * heartbeatIntervalMs) {
			this.remove(id);
		}

		fleet.at(fleet.now + heartbeatIntervalMs, () => {
			this.#beat(worker);
		});
	}
}
