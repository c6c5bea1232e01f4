/**
 * How the pump performs each effect of a reducer.
 */
import {type Effect, type EffectOf} from '@rosemaryquay/core/node/effect';
import {type Node} from '@rosemaryquay/core/node/node';
import {type Pump} from './pump.js';

export type Performer<Type extends Effect['type']> = (pump: Pump, node: Node, effect: EffectOf<Type>) => void;

/** Performers by type of effect. */
export const performers: {readonly [Type in Effect['type']]: Performer<Type>} = {
	'start-attempt'(pump, node, effect) {
		pump.startAttempt(node, effect);
	},
	'cancel-attempt'(pump, node, effect) {
		pump.after(pump.workerDelayMs, () => {
			pump.endAttempt(node.id, effect.attemptId, {type: 'lost', cause: 'connection-lost'});
		});
	},
	'throttle-attempt'(pump, _node, {attemptId, durationMs}) {
		pump.after(pump.workerDelayMs, () => {
			pump.throttleAttempt(attemptId, durationMs);
		});
	},
	'checkpoint-attempt'(pump, node, {attemptId}) {
		pump.after(pump.workerDelayMs, () => {
			pump.checkpointAttempt(node.id, attemptId);
		});
	},
	answer(pump, node, effect) {
		pump.trace.push({
			type: 'answered', at: pump.now, node: node.id, taskId: effect.taskId,
		});
	},
	'answer-recorded'(pump, node, effect) {
		pump.trace.push({
			type: 'answered', at: pump.now, node: node.id, taskId: effect.taskId,
		});
	},
	refuse(pump, node, effect) {
		pump.trace.push({
			type: 'refused', at: pump.now, node: node.id, taskId: effect.taskId, refusal: effect.refusal,
		});
	},
	'store-transact'(pump, node, {purpose, id, transaction}) {
		pump.callStore(node.id, () => pump.store.transact(transaction), outcome => ({
			type: 'store-transacted', purpose, id, outcome,
		}));
	},
	'store-list'(pump, node, {purpose, id, prefix}) {
		pump.callStore(node.id, () => pump.store.list(prefix), outcome => ({
			type: 'store-listed', purpose, id, outcome,
		}));
	},
	'store-watch'(pump, node, {purpose, id, prefix, fromRevision}) {
		pump.storeDriver.watch(node.id, {
			purpose, id, prefix, fromRevision,
		});
	},
	'store-lease'(pump, node, effect) {
		pump.storeDriver.callLease(node.id, effect);
	},
	'edit-answered'(pump, _node, {requestId, result}) {
		pump.edits.set(requestId, {at: pump.now, result});
	},
	'peers-changed'() {
		// Members reach each other without connections here.
	},
	report() {
		// Reports are for logs.
	},
	'peer-send'(pump, node, {to, message}) {
		pump.send(to, {type: 'peer-received', from: node.id, message});
	},
	count(pump, _node, effect) {
		pump.counters.set(effect.counter, (pump.counters.get(effect.counter) ?? 0) + 1);
	},
	'shutdown-finished'(pump, node) {
		pump.stop(node.id);
	},
};
