import {type WorkerModel} from './worker-model.js';

/** Way of one message, drawn between these bounds in milliseconds. */
const shortestWayMs = 1;
const longestWayMs = 4;

/** Time after which an unanswered call is given up. */
export const callTimeoutMs = 700;

/** An order that is carried out late takes this long, drawn between these bounds in milliseconds. */
const shortestDelayMs = 2000;
const longestDelayMs = 12_000;

/** Faults are given in parts of a thousand orders. */
export const partsPerThousand = 1000;

type Fleet = {
	readonly now: number;
	readonly workers: ReadonlyMap<string, WorkerModel>;
	/** Workers that answer nothing, and are not reached. */
	readonly silent: ReadonlySet<string>;
	readonly lostAnswers: number;
	readonly lateOrders: number;
	at(time: number, action: () => void): void;
	draw(least: number, most: number): number;
};

/** Carries messages between the owner, the store and the workers of the model, with the faults in force. */
export class WorkerLink {
	readonly #fleet: Fleet;

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	/** Runs an action after the way of one message. */
	deliver(action: () => void): void {
		const fleet = this.#fleet;
		fleet.at(fleet.now + fleet.draw(shortestWayMs, longestWayMs), action);
	}

	/**
	 * Carries an order to a worker and its answer back.
	 *
	 * @param worker - its name
	 * @param carryOut - what the worker does; told whether its answer will be heard, returns the delivery of the answer
	 * @param giveUp - runs when no answer has come in time
	 */
	carry(worker: string, carryOut: (model: WorkerModel, isHeard: boolean) => () => void, giveUp: () => void): void {
		const fleet = this.#fleet;
		const sentAt = fleet.now;
		const isLate = fleet.draw(1, partsPerThousand) <= fleet.lateOrders;
		const isLost = fleet.draw(1, partsPerThousand) <= fleet.lostAnswers;
		const delayMs = isLate ? fleet.draw(shortestDelayMs, longestDelayMs) : fleet.draw(shortestWayMs, longestWayMs);
		let isAnswered = false;
		fleet.at(sentAt + delayMs, () => {
			const model = fleet.workers.get(worker);
			if (model?.isAlive && !fleet.silent.has(worker)) {
				isAnswered = !isLate && !isLost;
				const answer = carryOut(model, isAnswered);
				if (isAnswered) {
					this.deliver(answer);
				}
			}
		});
		fleet.at(sentAt + callTimeoutMs, () => {
			if (!isAnswered) {
				giveUp();
			}
		});
	}
}
