import {type WorkerModel} from './worker-model.js';

/** Bounds of the random latency of a message. */
const minimumLatencyMs = 1;
export const maximumLatencyMs = 4;

/** Time after which an unanswered call times out. */
export const callTimeoutMs = 700;

/** Bounds of the random delay of an order that is carried out late. */
const minimumOrderDelayMs = 2000;
const maximumOrderDelayMs = 12_000;

/** Denominator of the fault rates. */
export const partsPerThousand = 1000;

type Fleet = {
	readonly now: number;
	readonly workers: ReadonlyMap<string, WorkerModel>;
	/** Workers that receive no calls and send no answers. */
	readonly silentWorkers: ReadonlySet<string>;
	/** Workers that carry calls out and whose answers are lost. */
	readonly unheardWorkers: ReadonlySet<string>;
	/** Time in milliseconds that a call to a worker is under way, where it is longer than the usual latency. */
	readonly callDelaysMs: ReadonlyMap<string, number>;
	readonly lostAnswersPerThousand: number;
	readonly lateOrdersPerThousand: number;
	at(time: number, action: () => void): void;
	draw(minimum: number, maximum: number): number;
};

/** Model of the network between the owner, the store and the workers: latency, and the faults in force. */
export class NetworkModel {
	readonly #fleet: Fleet;
	/** Time at which the link of the owner has transmitted all orders sent so far. */
	#linkFreeAt = 0;
	/** Calls that reached a worker while it was down, by worker. */
	readonly #waitingCalls = new Map<string, Array<(model: WorkerModel) => void>>();

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	/** Runs an action after the latency of one message. */
	deliver(action: () => void): void {
		const fleet = this.#fleet;
		fleet.at(fleet.now + fleet.draw(minimumLatencyMs, maximumLatencyMs), action);
	}

	/**
	 * Sends an order, or a request for a report, to a worker and delivers its answer. A worker that is down carries it out
	 * once it is back, whichever incarnation it was meant for.
	 *
	 * @param worker - identifier of the worker
	 * @param carryOut - carries the order out on the worker, given whether the answer will reach the owner, and returns a function that delivers the answer
	 * @param options - called when no answer has arrived within `callTimeoutMs`; time that the call occupies the link of the owner
	 */
	callWorker(worker: string, carryOut: (model: WorkerModel, willReachOwner: boolean) => () => void, options: {onTimeout: () => void; transmissionMs?: number}): void {
		const {onTimeout, transmissionMs = 0} = options;
		const fleet = this.#fleet;
		const sentAt = fleet.now;
		const isLate = fleet.draw(1, partsPerThousand) <= fleet.lateOrdersPerThousand;
		const isLost = fleet.draw(1, partsPerThousand) <= fleet.lostAnswersPerThousand;
		const delayMs = isLate ? fleet.draw(minimumOrderDelayMs, maximumOrderDelayMs) : fleet.draw(minimumLatencyMs, maximumLatencyMs) + this.#transmit(transmissionMs);
		let isAnswered = false;
		const receive = (model: WorkerModel): void => {
			isAnswered = !isLate && !isLost && !fleet.unheardWorkers.has(worker) && fleet.now < sentAt + callTimeoutMs;
			const answer = carryOut(model, isAnswered);
			if (isAnswered) {
				this.deliver(answer);
			}
		};

		fleet.at(sentAt + Math.max(delayMs, fleet.callDelaysMs.get(worker) ?? 0), () => {
			const model = fleet.workers.get(worker);
			if (model === undefined || fleet.silentWorkers.has(worker)) {
				return;
			}

			if (model.isAlive) {
				receive(model);
				return;
			}

			this.#waitingCalls.set(worker, [...this.#waitingCalls.get(worker) ?? [], receive]);
		});
		fleet.at(sentAt + callTimeoutMs, () => {
			if (!isAnswered) {
				onTimeout();
			}
		});
	}

	/** Lets a worker that is back carry out the calls that have waited for it; they are lost if it is cut off. */
	deliverWaitingCalls(worker: WorkerModel): void {
		const {id} = worker.listing;
		const calls = this.#waitingCalls.get(id) ?? [];
		this.#waitingCalls.delete(id);
		for (const receive of this.#fleet.silentWorkers.has(id) ? [] : calls) {
			receive(worker);
		}
	}

	/** Returns the time until an order that is sent now has passed the link. */
	#transmit(transmissionMs: number): number {
		const {now} = this.#fleet;
		this.#linkFreeAt = Math.max(this.#linkFreeAt, now) + transmissionMs;
		return this.#linkFreeAt - now;
	}
}
