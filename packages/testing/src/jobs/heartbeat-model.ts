import {type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {type WorkerModel} from './worker-model.js';

/** Interval at which workers renew their entry in the store, which drops it after three missed heartbeats. */
const heartbeatIntervalMs = 1500;

type Fleet = {
	readonly now: number;
	readonly workers: ReadonlyMap<string, WorkerModel>;
	/** Workers that write no heartbeats. */
	readonly silentWorkers: ReadonlySet<string>;
	at(time: number, action: () => void): void;
	dispatch(event: SchedulerEvent): void;
};

/** Model of the entries of workers in the store: a reachable worker renews its entry; the entry is removed after three intervals without a heartbeat. */
export class HeartbeatModel {
	readonly #fleet: Fleet;

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	/** Starts the heartbeats of a worker; they end when another incarnation replaces it. */
	start(worker: WorkerModel): void {
		this.#beat(worker, this.#fleet.now);
	}

	#beat(worker: WorkerModel, lastHeartbeatAt: number): void {
		const fleet = this.#fleet;
		const {id} = worker.listing;
		if (fleet.workers.get(id) !== worker) {
			return;
		}

		const isReachable = worker.isAlive && !fleet.silentWorkers.has(id);
		if (isReachable) {
			fleet.dispatch({type: 'worker-listed', worker: worker.listing});
		} else if (fleet.now - lastHeartbeatAt >= 3 * heartbeatIntervalMs) {
			fleet.dispatch({type: 'worker-unlisted', id});
		}

		fleet.at(fleet.now + heartbeatIntervalMs, () => {
			this.#beat(worker, isReachable ? fleet.now - heartbeatIntervalMs : lastHeartbeatAt);
		});
	}
}
