import {endLife} from './end-life.js';
import {findWorkerOfInstance} from './find-worker-of-instance.js';
import {type Pass} from './pass.js';

type Outcome = 'accepted' | 'busy' | 'foreign' | 'unanswered';

/**
 * Takes in the answer to a request for an instance's upkeep. From an acceptance on, nothing runs on the instance.
 *
 * @param pass - the pass; its state is changed
 * @param answer - the wave, the instance and the outcome
 * @example
 * recordUpkeep(pass, {wave: 1, instance: 'm-1', outcome: 'accepted'});
 */
export function recordUpkeep(pass: Pass, answer: {wave: number; instance: string; outcome: Outcome}): void {
	const {wave, instance, outcome} = answer;
	const {scheduler, now} = pass;
	const upkeep = scheduler.waves.get(wave)?.upkeeps.get(instance);
	if (upkeep?.state !== 'asking') {
		return;
	}

	pass.effects.push({
		type: 'log', level: 'info', event: 'upkeep-answered', fields: {wave, instance, outcome},
	});
	const worker = findWorkerOfInstance(scheduler, instance);
	if (outcome === 'accepted') {
		upkeep.state = 'down';
		upkeep.changedAt = now;
		upkeep.acceptedAt = now;
		if (worker !== undefined) {
			endLife(pass, worker, 'upkeep');
		}

		scheduler.instancesDueAt = Math.min(scheduler.instancesDueAt, now);
		return;
	}

	if (outcome === 'foreign') {
		upkeep.state = 'done';
		if (worker !== undefined) {
			worker.cordoned = false;
		}
	}

	if (outcome === 'busy') {
		upkeep.state = 'unclear';
		upkeep.changedAt = now;
		scheduler.instancesDueAt = Math.min(scheduler.instancesDueAt, now);
	}
}
