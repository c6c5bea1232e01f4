import {setTimeout as delay} from 'node:timers/promises';
import {isFresh} from '@rosemaryquay/core/freshness/is-fresh';
import {type Node} from '@rosemaryquay/core/node/node';

const pollIntervalMs = 5;

/**
 * Waits until the node has a fresh configuration and no listing or correction of the catalogue in the store is pending.
 *
 * @param node - state of the reducer, read only
 * @param options - monotonic clock, and the longest wait in milliseconds
 * @returns whether the node became ready in time
 * @example
 * await waitUntilReady(node, {now: () => performance.now(), timeoutMs: 5000});
 */
export async function waitUntilReady(node: Node, options: {now: () => number; timeoutMs: number}): Promise<boolean> {
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
