import {measureDominantResource} from '../placement/measure-dominant-resource.js';
import {type Scheduler} from '../state/scheduler.js';
import {type ServiceUsage} from './measure-usage.js';

/** Time constant of the mean usage in milliseconds: about the time that a job occupies workers, so that an organisation may use its share in bursts. */
const averagingMs = 3000;

/** Mean usage below which an organisation is no longer kept, in thousandths of a core. */
const minimumMean = 1;

/**
 * Averages the usage of the organisations of each service over the last seconds. An organisation seen for the first time
 * starts with its present usage, so that a new owner gives nobody more than its share.
 *
 * @param scheduler - the state; its mean usages are changed
 * @param usages - present capacity and usage by service
 * @param now - local time in milliseconds
 * @example
 * averageUsage(scheduler, measureUsage(scheduler, now), now);
 */
export function averageUsage(scheduler: Scheduler, usages: ReadonlyMap<string, ServiceUsage>, now: number): void {
	const gain = 1 - Math.exp((scheduler.meanUsageAt - now) / averagingMs);
	const means = new Map<string, Map<string, number>>();
	for (const [service, {capacity, usedByOrganisation}] of usages) {
		const previous = scheduler.meanUsage.get(service);
		const byOrganisation = new Map<string, number>();
		for (const [organisation, mean] of previous ?? []) {
			if (mean >= minimumMean) {
				byOrganisation.set(organisation, mean * (1 - gain));
			}
		}

		for (const [organisation, used] of usedByOrganisation) {
			const present = measureDominantResource(used, capacity);
			byOrganisation.set(organisation, previous === undefined ? present : (byOrganisation.get(organisation) ?? 0) + (gain * present));
		}

		means.set(service, byOrganisation);
	}

	scheduler.meanUsage = means;
	scheduler.meanUsageAt = now;
}
