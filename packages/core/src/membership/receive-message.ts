import {type VersionedEntry} from '../catalogue/catalogue-state.js';
import {acceptEntries} from '../catalogue/accept-entries.js';
import {announcementIntervalMs} from '../constants.js';
import {updateFreshness} from '../freshness/update-freshness.js';
import {type Effect} from '../node/effect.js';
import {type EventOf} from '../node/event.js';
import {type Node} from '../node/node.js';
import {type Message, type MessageOf} from './message.js';
import {recordReport} from './record-report.js';
import {requestCatalogue} from './request-catalogue.js';

type Handler<Type extends Message['type']> = (node: Node, message: MessageOf<Type>, at: number) => Effect[];

/** Announces this node's revision to a member with a lower one. If the store was restored from an older state, the member may not see the revision there. */
function announceRevisionTo(node: Node, summary: MessageOf<'summary'>, at: number): Effect[] {
	const {membership, snapshot} = node;
	if (summary.revision >= snapshot.revision || at - (membership.announcedAt.get(summary.member) ?? Number.NEGATIVE_INFINITY) < announcementIntervalMs) {
		return [];
	}

	membership.announcedAt.set(summary.member, at);
	return [{type: 'peer-send', to: summary.member, message: {type: 'announcement', member: node.id, revision: snapshot.revision}}];
}

const handlers: {readonly [Type in Message['type']]: Handler<Type>} = {
	summary(node, summary, at) {
		const {membership} = node;
		const known = membership.summaries.get(summary.member);
		if (known === undefined || known.summary.sequence < summary.sequence) {
			membership.summaries.set(summary.member, {summary, receivedAt: at});
			membership.lastReceived.set(summary.member, {sequence: summary.sequence, at});
		}

		recordReport(node, summary);
		updateFreshness(node, at);
		return announceRevisionTo(node, summary, at);
	},
	leaving(node, message) {
		node.membership.summaries.delete(message.member);
		node.membership.lastReceived.delete(message.member);
		return [];
	},
	announcement(node, {member, revision}, at) {
		node.membership.lastReceived.set(member, node.membership.lastReceived.get(member) ?? {sequence: 0, at});
		const known = node.membership.reports.get(member);
		if (known !== undefined && known.revision < revision) {
			node.membership.reports.set(member, {...known, revision});
		}

		return [];
	},
	'catalogue-request'(node, message) {
		const {accepted} = node.catalogue;
		if (accepted.revision <= message.revision) {
			return [];
		}

		const entries: VersionedEntry[] = [];
		for (const entry of accepted.entries.values()) {
			if (entry.revision > message.revision) {
				entries.push(entry);
			}
		}

		return [{
			type: 'peer-send', to: message.member, message: {
				type: 'catalogue-response', member: node.id, revision: accepted.revision, since: message.revision, entries: entries.map(entry => ({...entry, earlier: [...entry.earlier]})),
			},
		}];
	},
	'catalogue-response'(node, message, at) {
		const {catalogue} = node;
		if (catalogue.accepted.revision < message.since || catalogue.prefix === undefined) {
			return [];
		}

		const before = catalogue.accepted.revision;
		const effects = acceptEntries(node, message.entries, message.revision, at);
		return catalogue.accepted.revision > before ? [{type: 'count', counter: 'catalogue.from-peer'}, ...effects] : effects;
	},
};

/**
 * Handles a message of another member. Duplicated and late summaries are ignored. A newer revision
 * in any message is requested.
 *
 * @param node - the node, updated in place
 * @param event - the message
 * @returns messages to other members, and the log report of a newer or invalid catalogue
 * @example
 * receiveMessage(node, {type: 'peer-received', at: 0, from: 'entry-2', message});
 */
export function receiveMessage(node: Node, event: EventOf<'peer-received'>): Effect[] {
	const {message, at} = event;
	const effects = (handlers[message.type] as Handler<Message['type']>)(node, message, at);
	return [...effects, ...requestCatalogue(node, {from: message.member, revision: message.revision}, at)];
}
