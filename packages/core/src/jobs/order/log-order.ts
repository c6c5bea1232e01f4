import {type ReducerContext} from '../state/reducer-context.js';

/** Shortest time between two log lines about the order, in milliseconds; placement happens about 25 times a second. */
const orderLogIntervalMs = 1000;

/** Maximum number of organisations of a service in a log line. */
const maximumLoggedOrganisations = 20;

/**
 * Logs usage and share of the organisations that compete for services, those with the most waiting work first.
 *
 * @param context - the reducer context; effects are added
 * @example
 * logOrder(context);
 */
export function logOrder({scheduler, now, effects}: ReducerContext): void {
	if (scheduler.contention.size === 0 || now < scheduler.orderLogDueAt) {
		return;
	}

	scheduler.orderLogDueAt = now + orderLogIntervalMs;
	const services = [...scheduler.contention].map(([service, {capacity, organisations}]) => ({
		service,
		capacity,
		organisations: [...organisations].filter(([, {waiting}]) => waiting > 0)
			.toSorted(([, left], [, right]) => right.waiting - left.waiting)
			.slice(0, maximumLoggedOrganisations)
			.map(([name, {weight, used, waiting, share}]) => ({
				name, weight, used: Math.round(used), waiting: Math.round(waiting), share: Math.round(share),
			})),
	}));
	effects.push({
		type: 'log', level: 'info', event: 'order-decided', fields: {services},
	});
}
