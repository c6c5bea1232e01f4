import {setTimeout as delay} from 'node:timers/promises';
import {isFresh} from '@rosemaryquay/core/freshness/is-fresh';
import {type Node} from '@rosemaryquay/core/node/node';

const pollIntervalMs = 5;

/**
 * Waits until the configuration is fresh and the catalogue is neither being listed nor due to be corrected in the store.
 *
 * @param node - state of the reducer, read only
 * @param options - monotonic clock, and the longest wait in milliseconds
 * @returns whether both held before the time-out
 * @example
 * await waitForCatalogue(node, {now: () => performance.now(), timeoutMs: 5000});
 */
export async function waitForCatalogue(node: Node, options: {now: () => number; timeoutMs: number}): Promise<boolean> {
	const {now, timeoutMs} = options;
	const deadline = now() + timeoutMs;
	while (now() < deadline) {
		const {catalogue} = node;
		if (isFresh(node, now()) && catalogue.correctionDueAt === undefined && catalogue.pendingCorrection === undefined && !catalogue.listing) {
			return true;
		}

		await delay(pollIntervalMs);
	}

	return false;
}
