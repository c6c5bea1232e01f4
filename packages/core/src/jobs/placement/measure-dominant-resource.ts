import {type Resources} from '../state/configuration-schema.js';

/**
 * Measures resources by their dominant share of the capacity, expressed in thousandths of a core. A task that uses a
 * quarter of the memory counts as a quarter of the cores.
 *
 * @param resources - resources to measure
 * @param capacity - capacity of a worker
 * @returns thousandths of a core
 * @example
 * measureDominantResource({cpuMillis: 1000, memoryMb: 512, accelerators: 0}, {cpuMillis: 8000, memoryMb: 1024, accelerators: 0}); // 4000
 */
export function measureDominantResource(resources: Resources, capacity: Resources): number {
	let share = 0;
	for (const dimension of ['cpuMillis', 'memoryMb', 'accelerators'] as const) {
		if (capacity[dimension] > 0) {
			share = Math.max(share, resources[dimension] / capacity[dimension]);
		}
	}

	return share * capacity.cpuMillis;
}
