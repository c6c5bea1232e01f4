import {Heap} from 'heap-js';

/** Virtual time: runs actions in the order of their times, and those of one time in the order of their arrival. */
export class Timeline {
	now = 0;
	#order = 0;
	readonly #onAdvance: (now: number) => void;
	readonly #queue = new Heap<{at: number; order: number; action: () => void}>((left, right) => left.at - right.at || left.order - right.order);

	/**
	 * Creates a timeline at time 0.
	 *
	 * @param onAdvance - hears each new time before its actions run
	 */
	constructor(onAdvance: (now: number) => void) {
		this.#onAdvance = onAdvance;
	}

	/** Runs an action at a time, at once if that has passed. */
	at(time: number, action: () => void): void {
		this.#order++;
		this.#queue.push({at: Math.max(time, this.now), order: this.#order, action});
	}

	/** Runs until a time. */
	run(until: number): void {
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
