import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {type Message, type MessageOf} from './message.js';

type Handler<Type extends Message['type']> = (node: Node, message: MessageOf<Type>, at: number) => Effect[];

const handlers: {readonly [Type in Message['type']]: Handler<Type>} = {
	summary(node, summary, at) {
		const known = node.membership.members.get(summary.member);
		if (known === undefined || known.summary.sequence < summary.sequence) {
			node.membership.members.set(summary.member, {summary, receivedAt: at});
		}

		return [];
	},
	leaving(node, message) {
		node.membership.members.delete(message.member);
		return [];
	},
};

/**
 * Handles a message of another member; duplicated and late summaries are ignored.
 *
 * @param node - the node, updated in place
 * @param event - the message
 * @returns the effects
 * @example
 * receiveMessage(node, {type: 'peer-received', at: 0, from: 'entry-2', message});
 */
export function receiveMessage(node: Node, event: EventOf<'peer-received'>): Effect[] {
	return (handlers[event.message.type] as Handler<Message['type']>)(node, event.message, event.at);
}
