import {idleInstanceListIntervalMs, instanceListIntervalMs, takeoverSettlingMs} from '../state/constants.js';
import {instanceGone} from '../crashes/record-loss.js';
import {endIncarnation} from '../runs/end-incarnation.js';
import {type ListedInstance, type Upkeep, type Wave} from '../state/instance.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';
import {hasBegunForWave} from '../waves/has-begun-for-wave.js';
import {logInstanceChanges} from './log-instance-changes.js';
import {listGoneWorkers} from './list-gone-workers.js';
import {uncordonWorkers} from './uncordon-workers.js';

/**
 * Processes the list of instances. A worker that has neither answered nor got a new entry in the store since the list was
 * requested has ended if the list shows its instance without it, or if two lists in a row are without the instance. An upkeep is over if a list requested after its acceptance shows the instance up, or if
 * the instance has left the list.
 *
 * @param context - the reducer context; its state is changed
 * @param answer - the list, the local time at which it was requested, and whether all of its entries could be read
 * @example
 * handleInstances(context, {instances, requestedAt});
 */
export function handleInstances(context: ReducerContext, answer: {instances: readonly ListedInstance[]; requestedAt: number; isComplete?: boolean | undefined}): void {
	const {scheduler, now} = context;
	const {instances, requestedAt, isComplete = true} = answer;
	scheduler.instanceListPending = false;
	scheduler.instanceListRequestedAt = requestedAt;
	const former = new Map(scheduler.instances);
	scheduler.instances.clear();
	for (const instance of instances) {
		scheduler.instances.set(instance.id, instance);
	}

	logInstanceChanges(context, former);

	const sparePools = new Set(scheduler.configuration.pools.filter(({spare}) => spare).map(({name}) => name));
	for (const worker of scheduler.workers.values()) {
		if (requestedAt > Math.max(worker.lastResponseAt, worker.locatedAt) && isReplaced(worker, scheduler.instances.get(worker.instance), sparePools)) {
			endIncarnation(context, worker, 'instance-replaced');
		}
	}

	const listing = {ids: new Set(instances.map(({id}) => id)), requestedAt, isComplete};
	for (const worker of listGoneWorkers(scheduler, listing)) {
		endIncarnation(context, worker, instanceGone);
	}

	scheduler.instanceListing = listing;
	let isBusy = scheduler.moves.size > 0;
	for (const wave of scheduler.waves.values()) {
		isBusy ||= !wave.completed;
		for (const upkeep of wave.upkeeps.values()) {
			updateUpkeep(context, wave, {upkeep, requestedAt});
		}
	}

	// The last orders of a former owner may take effect only after a delay.
	const isSettled = requestedAt >= scheduler.tookOverAt + takeoverSettlingMs;
	scheduler.instanceListDueAt = isSettled ? now + (isBusy ? instanceListIntervalMs : idleInstanceListIntervalMs) : scheduler.tookOverAt + takeoverSettlingMs;
}

/** A worker ends when its instance moves or reboots. Afterwards another worker runs there, or none in a spare pool. */
function isReplaced({id}: Worker, instance: ListedInstance | undefined, sparePools: ReadonlySet<string>): boolean {
	if (instance === undefined) {
		return false;
	}

	const {state, pool, worker} = instance;
	if (state === 'moving' || state === 'upkeep') {
		return true;
	}

	return worker === '' ? sparePools.has(pool) : state === 'up' && worker !== id;
}

function updateUpkeep(context: ReducerContext, wave: Wave, options: {upkeep: Upkeep; requestedAt: number}): void {
	const {upkeep, requestedAt} = options;
	const listed = context.scheduler.instances.get(upkeep.instance);
	const isUnconfirmed = upkeep.state === 'unconfirmed' && requestedAt > upkeep.changedAt;
	if ((upkeep.state === 'pending' || isUnconfirmed) && listed?.state === 'upkeep' && hasBegunForWave(context.scheduler, {wave, upkeep, requestedAt})) {
		upkeep.state = 'down';
		upkeep.acceptedAt = requestedAt;
		return;
	}

	if (isUnconfirmed && listed !== undefined) {
		upkeep.state = 'pending';
		upkeep.changedAt = context.now;
		upkeep.mayHaveBegun = false;
		uncordonWorkers(context.scheduler, upkeep.instance);
	}

	const isUp = upkeep.state === 'down' && requestedAt > upkeep.acceptedAt && listed?.state === 'up';
	const isUnlisted = listed === undefined && upkeep.state !== 'requested' && upkeep.state !== 'done';
	if (isUp || isUnlisted) {
		upkeep.state = 'done';
		context.scheduler.dirtyWaves.add(wave);
	}

	if (isUp) {
		// The upkeep may have been over before it was requested; the worker that was cordoned for it then still runs.
		uncordonWorkers(context.scheduler, upkeep.instance);
	}
}
