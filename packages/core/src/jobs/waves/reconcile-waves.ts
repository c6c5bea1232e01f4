import {takeoverSettlingMs} from '../state/constants.js';
import {uncordonWorkers} from '../pools/uncordon-workers.js';
import {type WaveRequest} from '../state/instance.js';
import {type ReducerContext} from '../state/reducer-context.js';

/**
 * Adds waves that the operators have requested, and drops waves that they no longer request; workers that were being drained
 * for these return to service.
 *
 * @param context - the reducer context; its state is changed
 * @param requests - all waves requested now
 * @param done - instances of each wave whose upkeep a former owner has finished
 * @example
 * reconcileWaves(context, [{number: 1, instances: ['m-1'], durationMs: 20_000, maximumDown: 1}]);
 */
export function reconcileWaves(context: ReducerContext, requests: readonly WaveRequest[], done: ReadonlyMap<number, readonly string[]> = new Map()): void {
	const {scheduler, now} = context;
	for (const [number, wave] of scheduler.waves) {
		if (!requests.some(request => request.number === number)) {
			scheduler.waves.delete(number);
			for (const {instance, state} of wave.upkeeps.values()) {
				if (state !== 'pending' && state !== 'done') {
					uncordonWorkers(scheduler, instance);
				}
			}
		}
	}

	for (const request of requests) {
		if (scheduler.waves.has(request.number)) {
			continue;
		}

		scheduler.waves.set(request.number, {
			request,
			requestedAt: now,
			upkeeps: new Map(request.instances.map(instance => [instance, {
				instance, state: done.get(request.number)?.includes(instance) ? 'done' : 'pending', changedAt: now, retryAt: 0, acceptedAt: 0, mayHaveBegun: false,
			}])),
			completed: false,
			published: 'none',
		});
		scheduler.instanceListDueAt = Math.max(Math.min(scheduler.instanceListDueAt, now), scheduler.tookOverAt + takeoverSettlingMs);
		context.effects.push({
			type: 'log', level: 'info', event: 'wave-requested', fields: {wave: request.number, instances: request.instances.length, maximumDown: request.maximumDown},
		});
	}
}
