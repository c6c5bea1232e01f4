import {orderRetryMs} from '../state/constants.js';
import {uncordonWorkers} from '../pools/uncordon-workers.js';
import {type ReducerContext} from '../state/reducer-context.js';

type Outcome = 'accepted' | 'busy' | 'foreign' | 'fenced' | 'unanswered';

/**
 * Processes the answer to a request for the upkeep of an instance. A request is accepted as well if the upkeep is already over,
 * so only the next list of instances shows whether the worker has ended.
 *
 * @param context - the reducer context; its state is changed
 * @param answer - the wave, the instance and the outcome
 * @example
 * handleUpkeepAnswer(context, {wave: 1, instance: 'm-1', outcome: 'accepted'});
 */
export function handleUpkeepAnswer(context: ReducerContext, answer: {wave: number; instance: string; outcome: Outcome}): void {
	const {wave, instance, outcome} = answer;
	const {scheduler, now} = context;
	if (outcome === 'fenced') {
		context.effects.push({type: 'step-down', reason: 'A later owner has ordered the upkeep of the instance'});
		return;
	}

	const known = scheduler.waves.get(wave);
	const upkeep = known?.upkeeps.get(instance);
	if (known === undefined || upkeep?.state !== 'requested') {
		return;
	}

	context.effects.push({
		type: 'log', level: 'info', event: 'upkeep-answered', fields: {wave, instance, outcome},
	});
	if (outcome === 'unanswered') {
		upkeep.mayHaveBegun = true;
		upkeep.retryAt = Math.min(upkeep.retryAt, now + orderRetryMs);
	}

	if (outcome === 'accepted') {
		upkeep.state = 'down';
		upkeep.changedAt = now;
		upkeep.acceptedAt = now;
		scheduler.instanceListDueAt = Math.min(scheduler.instanceListDueAt, now);
		return;
	}

	if (outcome === 'foreign') {
		// The order does not apply to this instance or wave, so it is not repeated.
		upkeep.state = 'done';
		scheduler.dirtyWaves.add(known);
		uncordonWorkers(scheduler, instance);
	}

	if (outcome === 'busy') {
		upkeep.state = 'unconfirmed';
		upkeep.changedAt = now;
		scheduler.instanceListDueAt = Math.min(scheduler.instanceListDueAt, now);
	}
}
