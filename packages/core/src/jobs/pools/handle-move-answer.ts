import {endIncarnation} from '../runs/end-incarnation.js';
import {getIncarnation} from '../runs/get-incarnation.js';
import {isSameIncarnation} from '../runs/is-same-incarnation.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {groupWorkersByInstance} from './group-workers-by-instance.js';
import {uncordonWorkers} from './uncordon-workers.js';

/**
 * Processes the answer to a request to move an instance. An unanswered request stays pending and is repeated, since it
 * may still be carried out.
 *
 * @param context - the reducer context; its state is changed
 * @param answer - the instance, its new pool and the outcome
 * @example
 * handleMoveAnswer(context, {instance: 'm-1', pool: 'planner', outcome: 'accepted'});
 */
export function handleMoveAnswer(context: ReducerContext, answer: {instance: string; pool: string; outcome: 'accepted' | 'busy' | 'foreign' | 'fenced' | 'unanswered'}): void {
	const {scheduler, now} = context;
	const {instance, pool, outcome} = answer;
	if (outcome === 'fenced') {
		context.effects.push({type: 'step-down', reason: 'A later owner has moved the instance'});
		return;
	}

	const move = scheduler.moves.get(instance);
	if (move?.state !== 'requested' || move.pool !== pool || outcome === 'unanswered') {
		return;
	}

	if (outcome === 'accepted') {
		move.state = 'moving';
		move.acceptedAt = now;
		// A repeated order is accepted as well when the first one, whose answer was lost, has been carried out; another worker may run there by now.
		for (const worker of groupWorkersByInstance(scheduler, now).get(instance) ?? []) {
			// The lease of one that is no longer listed runs out by itself.
			if (worker.listing !== undefined && isSameIncarnation(getIncarnation(worker), move.incarnation)) {
				endIncarnation(context, worker, 'moved');
			}
		}

		scheduler.instanceListDueAt = Math.min(scheduler.instanceListDueAt, now);
		return;
	}

	scheduler.moves.delete(instance);
	uncordonWorkers(scheduler, instance);
}
