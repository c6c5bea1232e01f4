/**
 * Performs the effects of node reducers in the simulation.
 */
import {type Effect, type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Node} from '@rosemaryquay/core/node/node';
import {type Simulation} from './simulation.js';

export type EffectHandler<Type extends Effect['type']> = (simulation: Simulation, node: Node, effect: EffectOf<Type>) => void;

/** Handlers by type of effect. */
export const effectHandlers: {readonly [Type in Effect['type']]: EffectHandler<Type>} = {
	'start-attempt'(simulation, node, effect) {
		simulation.startAttempt(node, effect);
	},
	'cancel-attempt'(simulation, node, effect) {
		simulation.after(simulation.workerDelayMs, () => {
			simulation.endAttempt(node.id, effect.attemptId, {type: 'lost', cause: 'connection-lost'});
		});
	},
	'throttle-attempt'(simulation, _node, {attemptId, durationMs}) {
		simulation.after(simulation.workerDelayMs, () => {
			simulation.throttleAttempt(attemptId, durationMs);
		});
	},
	'checkpoint-attempt'(simulation, node, {attemptId}) {
		simulation.after(simulation.workerDelayMs, () => {
			simulation.checkpointAttempt(node.id, attemptId);
		});
	},
	answer(simulation, node, effect) {
		simulation.trace.push({
			type: 'answered', at: simulation.now, node: node.id, taskId: effect.taskId,
		});
	},
	'answer-recorded'(simulation, node, effect) {
		simulation.trace.push({
			type: 'answered', at: simulation.now, node: node.id, taskId: effect.taskId,
		});
	},
	refuse(simulation, node, effect) {
		simulation.trace.push({
			type: 'refused', at: simulation.now, node: node.id, taskId: effect.taskId, refusal: effect.refusal,
		});
	},
	'store-transact'(simulation, node, {purpose, id, transaction}) {
		simulation.callStore(node.id, () => simulation.store.transact(transaction), outcome => ({
			type: 'store-transacted', purpose, id, outcome,
		}));
	},
	'store-list'(simulation, node, {purpose, id, prefix}) {
		simulation.callStore(node.id, () => simulation.store.list(prefix), outcome => ({
			type: 'store-listed', purpose, id, outcome,
		}));
	},
	'store-watch'(simulation, node, {purpose, id, prefix, fromRevision}) {
		simulation.storeDriver.watch(node.id, {
			purpose, id, prefix, fromRevision,
		});
	},
	'store-lease'(simulation, node, effect) {
		simulation.storeDriver.callLease(node.id, effect);
	},
	'edit-answered'(simulation, _node, {requestId, result}) {
		simulation.edits.set(requestId, {at: simulation.now, result});
	},
	'peers-changed'() {
		// The simulation delivers peer messages without connections.
	},
	report() {
		// Reports only lead to log entries, and the simulation has no log.
	},
	'peer-send'(simulation, node, {to, message}) {
		simulation.send(to, {type: 'peer-received', from: node.id, message});
	},
	count(simulation, _node, effect) {
		simulation.counters.set(effect.counter, (simulation.counters.get(effect.counter) ?? 0) + 1);
	},
	'shutdown-finished'(simulation, node) {
		simulation.stop(node.id);
	},
};
