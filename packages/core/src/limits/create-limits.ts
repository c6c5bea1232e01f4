import {portionBatchSize, portionCallBurst} from '../constants.js';
import {type Limits} from './limits.js';

/**
 * Creates the state of the upper limits: no portions, and a member lease that is not valid yet.
 *
 * @param prefix - prefix of the system's keys in the store
 * @param options - `soleHolder` for a node that shares the limits with no other
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
		releasedTeam: undefined,
		teams: new Map(),
		liveness: {
			registration: '',
			leaseValidUntil: Number.NEGATIVE_INFINITY,
			storeOutageUntil: Number.NEGATIVE_INFINITY,
			present: new Map(),
			absentSince: new Map(),
		},
		now: Number.NEGATIVE_INFINITY,
		inFlightCall: undefined,
		lastCallNumber: 0,
		lastWriteNumber: 0,
		callTokens: portionCallBurst,
		refilledAt: 0,
		lastCallFailed: false,
		retryAt: Number.NEGATIVE_INFINITY,
		writeBatchSize: portionBatchSize,
		returnStartedAt: undefined,
	};
}
