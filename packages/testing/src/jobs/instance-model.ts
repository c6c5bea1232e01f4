import {type ListedInstance} from '@rosemaryquay/core/jobs/state/instance';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';

type Fleet = {
	readonly now: number;
	readonly workers: ReadonlyMap<string, {readonly listing: ListedWorker}>;
	at(time: number, action: () => void): void;
	addWorker(listing: ListedWorker): void;
	removeWorker(id: string): void;
};

/** Durations of an upkeep and of a move, as the platform documents them. */
const upkeepDurationMs = 2000;
const moveDurationMs = 1500;

/** Model of the platform's instances as the job scheduler sees them, on virtual time: upkeep and moves between pools. */
export class InstanceModel {
	readonly instances = new Map<string, ListedInstance>();
	moveCount = 0;
	/** Largest number of instances that were down for upkeep at the same time. */
	peakDownCount = 0;
	/** Instances whose upkeep has begun, by the number of the wave. */
	readonly #begunUpkeeps = new Map<number, Set<string>>();
	readonly #options: {readonly fleet: Fleet; readonly isSpare: (pool: string) => boolean};

	constructor(options: {instances: readonly ListedInstance[]; fleet: Fleet; isSpare: (pool: string) => boolean}) {
		this.#options = options;
		for (const instance of options.instances) {
			this.instances.set(instance.id, instance);
		}
	}

	/** Moves an instance to another pool; a worker of that pool runs on it afterwards, unless the pool is spare. */
	move(id: string, pool: string): void {
		const {fleet} = this.#options;
		const instance = this.instances.get(id);
		if (instance?.state !== 'up' || instance.pool === pool) {
			return;
		}

		this.moveCount++;
		this.instances.set(id, {
			...instance, pool, state: 'moving', worker: '',
		});
		if (fleet.workers.has(instance.worker)) {
			fleet.removeWorker(instance.worker);
		}

		fleet.at(fleet.now + moveDurationMs, () => {
			if (!this.instances.has(id)) {
				return;
			}

			const isSpare = this.#options.isSpare(pool);
			const worker = isSpare ? '' : `${id}-${this.moveCount}`;
			this.instances.set(id, {
				...instance, pool, state: 'up', worker,
			});
			if (!isSpare) {
				fleet.addWorker({
					id: worker, address: `${id}:80`, service: pool, availabilityZone: instance.availabilityZone, rack: 'r', labels: ['r'], capacity: instance.capacity, leaving: false, instance: id, startedAtMs: fleet.now,
				});
			}
		});
	}

	/**
	 * Answers an upkeep request: an instance that is not up is busy, even if an earlier request took it down;
	 * one already rebooted for the wave is accepted without another reboot.
	 */
	requestUpkeep(id: string, wave: number): 'accepted' | 'busy' {
		if (this.hasBegunUpkeep(id, wave) && this.instances.get(id)?.state === 'up') {
			return 'accepted';
		}

		if (this.instances.get(id)?.state !== 'up') {
			return 'busy';
		}

		this.#begunUpkeeps.set(wave, (this.#begunUpkeeps.get(wave) ?? new Set()).add(id));
		this.#reboot(id);
		return 'accepted';
	}

	hasBegunUpkeep(id: string, wave: number): boolean {
		return this.#begunUpkeeps.get(wave)?.has(id) ?? false;
	}

	/** Removes an instance for good. */
	remove(id: string): void {
		const instance = this.instances.get(id);
		this.instances.delete(id);
		if (instance !== undefined && this.#options.fleet.workers.has(instance.worker)) {
			this.#options.fleet.removeWorker(instance.worker);
		}
	}

	/** Takes an instance down for `upkeepDurationMs`; a new worker runs on it afterwards. */
	#reboot(id: string): void {
		const {fleet} = this.#options;
		const instance = this.instances.get(id);
		if (instance?.state !== 'up') {
			return;
		}

		const listing = fleet.workers.get(instance.worker)?.listing;
		this.instances.set(id, {...instance, state: 'upkeep', worker: ''});
		this.peakDownCount = Math.max(this.peakDownCount, [...this.instances.values()].filter(({state}) => state === 'upkeep').length);
		if (listing !== undefined) {
			fleet.removeWorker(listing.id);
		}

		fleet.at(fleet.now + upkeepDurationMs, () => {
			if (!this.instances.has(id)) {
				return;
			}

			const worker = listing === undefined ? '' : `${listing.id}'`;
			this.instances.set(id, {...instance, state: 'up', worker});
			if (listing !== undefined) {
				fleet.addWorker({...listing, id: worker, startedAtMs: fleet.now});
			}
		});
	}
}
