import {type ListedInstance} from '../state/instance.js';
import {type ReducerContext} from '../state/reducer-context.js';

/** Maximum number of lines for one list. */
const maximumLines = 20;

/**
 * Logs the instances that a list shows in another state or with another worker than the list before, or no longer.
 *
 * @param context - the reducer context, with the new list; effects are added
 * @param former - the list before; nothing is logged for the first list
 * @example
 * logInstanceChanges(context, former);
 */
export function logInstanceChanges({scheduler, now, effects}: ReducerContext, former: ReadonlyMap<string, ListedInstance>): void {
	let lines = 0;
	for (const {id, state, worker} of former.values()) {
		const present = scheduler.instances.get(id);
		if (present?.state === state && present.worker === worker) {
			continue;
		}

		lines++;
		if (lines > maximumLines) {
			return;
		}

		const known = scheduler.workers.get(worker);
		effects.push({
			type: 'log', level: 'info', event: 'instance-state-changed', fields: {
				instance: id, from: state, to: present?.state ?? 'unlisted', formerWorker: worker, worker: present?.worker ?? '', silentMs: known === undefined ? undefined : Math.round(now - known.lastResponseAt),
			},
		});
	}
}
