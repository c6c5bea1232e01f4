import {Heap} from 'heap-js';

/** Virtual clock with an event queue: runs actions by due time, and those due at the same time in the order they were scheduled. */
export class VirtualClock {
	now = 0;
	#lastSequence = 0;
	readonly #onAdvance: (now: number) => void;
	readonly #queue = new Heap<{at: number; sequence: number; action: () => void}>((left, right) => left.at - right.at || left.sequence - right.sequence);

	/**
	 * Creates a clock at time 0.
	 *
	 * @param onAdvance - called with each new time before its actions run
	 */
	constructor(onAdvance: (now: number) => void) {
		this.#onAdvance = onAdvance;
	}

	/** Schedules an action at a time, or at the present time if that has passed. */
	at(time: number, action: () => void): void {
		this.#lastSequence++;
		this.#queue.push({at: Math.max(time, this.now), sequence: this.#lastSequence, action});
	}

	/** Runs all actions due up to a time and advances the clock to it. */
	runUntil(until: number): void {
		for (;;) {
			const next = this.#queue.peek();
			if (next === undefined || next.at > until) {
				break;
			}

			this.#queue.pop();
			this.#advance(next.at);
			next.action();
		}

		this.#advance(until);
	}

	#advance(to: number): void {
		this.now = to;
		this.#onAdvance(to);
	}
}
