import {portionBatchSize, portionCallBurst} from '../constants.js';
import {type Limits} from './limits.js';

/**
 * Creates the state of the upper limits: no portions, and a member lease that is not valid yet.
 *
 * @param prefix - prefix of the system's keys in the store
 * @param options - whether the node shares the limits with no other
 * @returns the state
 * @example
 * const limits = createLimits('rosemaryquay/');
 */
export function createLimits(prefix: string, options: {soleHolder?: boolean} = {}): Limits {
	const {soleHolder = false} = options;
	return {
		soleHolder,
		prefix,
		running: new Map(),
		released: undefined,
		teams: new Map(),
		liveness: {
			registration: '',
			leaseValidUntil: Number.NEGATIVE_INFINITY,
			storeAwayUntil: Number.NEGATIVE_INFINITY,
			present: new Map(),
			absentSince: new Map(),
		},
		now: Number.NEGATIVE_INFINITY,
		call: undefined,
		calls: 0,
		writes: 0,
		tokens: portionCallBurst,
		refilledAt: 0,
		failing: false,
		retryAt: Number.NEGATIVE_INFINITY,
		batch: portionBatchSize,
		returningSince: undefined,
	};
}
