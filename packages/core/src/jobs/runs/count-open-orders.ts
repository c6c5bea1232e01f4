import {type Scheduler} from '../state/scheduler.js';

/**
 * Counts the start orders that are unanswered. Orders to unresponsive workers do not count: they occupy neither the link
 * nor the processor.
 *
 * @param scheduler - the state
 * @returns number of orders
 * @example
 * countOpenOrders(scheduler) < scheduler.orderWindow.size;
 */
export function countOpenOrders({workers}: Scheduler): number {
	let count = 0;
	for (const {tasks, unresponsive} of workers.values()) {
		if (unresponsive) {
			continue;
		}

		for (const {state} of tasks) {
			count += state === 'starting' ? 1 : 0;
		}
	}

	return count;
}
