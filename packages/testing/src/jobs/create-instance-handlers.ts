import {type SchedulerEffect} from '@rosemaryquay/core/jobs/state/effect';
import {type WaveRequest} from '@rosemaryquay/core/jobs/state/instance';
import {type FleetModel, type ModelledOwner} from './fleet-model.js';
import {type InstanceModel} from './instance-model.js';
import {callTimeoutMs, partsPerThousand} from './network-model.js';

type Handler<Type extends SchedulerEffect['type']> = (effect: Extract<SchedulerEffect, {type: Type}>, owner: ModelledOwner) => void;

type Options = {
	readonly fleet: FleetModel;
	readonly instances: InstanceModel;
	/** Waves that were requested so far. */
	readonly waves: readonly WaveRequest[];
	/** Delivers a message after the delay of the network. */
	readonly deliver: (action: () => void) => void;
};

/**
 * Creates the handlers of effects on instances in a modelled fleet: lists, moves, upkeeps and the states of waves.
 *
 * @param options - the fleet, its instances, the waves and the network
 * @returns the handlers by type of effect
 * @example
 * createInstanceHandlers({fleet, instances, waves, deliver}).move(effect, owner);
 */
export function createInstanceHandlers(options: Options): {[Type in 'publish-wave' | 'list-instances' | 'upkeep' | 'move']: Handler<Type>} {
	const {fleet, instances, waves, deliver} = options;
	return {
		'publish-wave'({wave, state}, owner) {
			fleet.waveStates.set(wave, state);
			const request = state === 'completed' ? waves.find(({number}) => number === wave) : undefined;
			for (const instance of request?.instances ?? []) {
				if (instances.instances.has(instance) && !instances.hasBegunUpkeep(instance, wave)) {
					fleet.checker.violations.push(`wave ${wave} is completed, and the upkeep of ${instance} has not begun`);
				}
			}

			fleet.dispatch({
				type: 'wave-published', wave, state, stored: true,
			}, owner);
		},
		'list-instances'(_effect, owner) {
			const requestedAt = fleet.now;
			const listed = [...instances.instances.values()];
			deliver(() => {
				fleet.dispatch({type: 'instances-listed', instances: listed, requestedAt}, owner);
			});
		},
		upkeep({instance, wave}, owner) {
			const isLost = fleet.draw(1, partsPerThousand) <= fleet.lostAnswersPerThousand;
			deliver(() => {
				const outcome = instances.requestUpkeep(instance, wave);
				if (!isLost) {
					fleet.dispatch({
						type: 'upkeep-answered', wave, instance, outcome,
					}, owner);
				}
			});
			if (isLost) {
				fleet.at(fleet.now + callTimeoutMs, () => {
					fleet.dispatch({
						type: 'upkeep-answered', wave, instance, outcome: 'unanswered',
					}, owner);
				});
			}
		},
		move({instance, pool}, owner) {
			deliver(() => {
				instances.move(instance, pool);
				fleet.dispatch({
					type: 'move-answered', instance, pool, outcome: 'accepted',
				}, owner);
			});
		},
	};
}
