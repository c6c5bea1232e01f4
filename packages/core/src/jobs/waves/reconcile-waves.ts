import {takeoverSettlingMs} from '../state/constants.js';
import {findWorkerOfInstance} from '../pools/find-worker-of-instance.js';
import {type Wave, type WaveRequest} from '../state/instance.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Scheduler} from '../state/scheduler.js';
import {isUpkeepInProgress} from './is-upkeep-in-progress.js';

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
			uncordonWorkers(scheduler, wave);
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
				instance, state: done.get(request.number)?.includes(instance) ? 'done' : 'pending', changedAt: now, acceptedAt: 0, mayHaveBegun: false,
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

/** Returns the workers to service that were being drained for a wave, unless their instances go down or move for another reason. */
function uncordonWorkers(scheduler: Scheduler, {upkeeps}: Wave): void {
	for (const {instance, state} of upkeeps.values()) {
		const worker = state === 'pending' || state === 'done' ? undefined : findWorkerOfInstance(scheduler, instance);
		if (worker !== undefined && !isUpkeepInProgress(scheduler, instance) && !scheduler.moves.has(instance) && !scheduler.drains.has(instance)) {
			worker.cordoned = false;
		}
	}
}
