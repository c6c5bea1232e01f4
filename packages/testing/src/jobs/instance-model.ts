import {type ListedInstance} from '@rosemaryquay/core/jobs/instance';
import {type ListedWorker} from '@rosemaryquay/core/jobs/scheduler';

type Fleet = {
	readonly now: number;
	readonly workers: ReadonlyMap<string, {readonly listing: ListedWorker}>;
	at(time: number, action: () => void): void;
	addWorker(listing: ListedWorker): void;
	removeWorker(id: string): void;
};

/** Times of an upkeep and of a move, as the platform states them. */
const upkeepMs = 2000;
const moveMs = 1500;

/** The platform's instances on virtual time: upkeep and moves between pools. */
export class InstanceModel {
	readonly listed = new Map<string, ListedInstance>();
	moves = 0;
	/** Largest number of instances that were down for upkeep at the same time. */
	mostDown = 0;
	readonly #rebooted = new Set<string>();
	readonly #options: {readonly fleet: Fleet; readonly isSpare: (pool: string) => boolean};

	constructor(options: {instances: readonly ListedInstance[]; fleet: Fleet; isSpare: (pool: string) => boolean}) {
		this.#options = options;
		for (const instance of options.instances) {
			this.listed.set(instance.id, instance);
		}
	}

	/** Takes an instance to another pool; a worker of that pool runs there afterwards, none in a spare pool. */
	move(id: string, pool: string): void {
		const {fleet} = this.#options;
		const instance = this.listed.get(id);
		if (instance?.state !== 'up' || instance.pool === pool) {
			return;
		}

		this.moves++;
		this.listed.set(id, {
			...instance, pool, state: 'moving', worker: '',
		});
		if (fleet.workers.has(instance.worker)) {
			fleet.removeWorker(instance.worker);
		}

		fleet.at(fleet.now + moveMs, () => {
			const isSpare = this.#options.isSpare(pool);
			const worker = isSpare ? '' : `${id}-${this.moves}`;
			this.listed.set(id, {
				...instance, pool, state: 'up', worker,
			});
			if (!isSpare) {
				fleet.addWorker({
					id: worker, address: `${id}:80`, service: pool, availabilityZone: instance.availabilityZone, rack: 'r', labels: ['r'], capacity: instance.capacity, leaving: false, instance: id, startedAtMs: fleet.now,
				});
			}
		});
	}

	/** An instance that is not up is busy, also when an order before has taken it down; one that is done stays as it is. */
	answerUpkeep(id: string): 'accepted' | 'busy' {
		if (this.#rebooted.has(id) && this.listed.get(id)?.state === 'up') {
			return 'accepted';
		}

		if (this.listed.get(id)?.state !== 'up') {
			return 'busy';
		}

		this.#reboot(id);
		return 'accepted';
	}

	/** Takes an instance down for two seconds; a new worker runs on it afterwards. */
	#reboot(id: string): void {
		const {fleet} = this.#options;
		const instance = this.listed.get(id);
		if (instance?.state !== 'up') {
			return;
		}

		this.#rebooted.add(id);
		const listing = fleet.workers.get(instance.worker)?.listing;
		this.listed.set(id, {...instance, state: 'upkeep', worker: ''});
		this.mostDown = Math.max(this.mostDown, [...this.listed.values()].filter(({state}) => state === 'upkeep').length);
		if (listing !== undefined) {
			fleet.removeWorker(listing.id);
		}

		fleet.at(fleet.now + upkeepMs, () => {
			const worker = listing === undefined ? '' : `${listing.id}'`;
			this.listed.set(id, {...instance, state: 'up', worker});
			if (listing !== undefined) {
				fleet.addWorker({...listing, id: worker, startedAtMs: fleet.now});
			}
		});
	}
}
