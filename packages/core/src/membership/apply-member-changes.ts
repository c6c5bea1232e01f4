import {type Effect} from '../node/effect.js';
import {type Node} from '../node/node.js';
import {type Change} from '../store/transaction.js';
import {chooseNeighbours} from './choose-neighbours.js';
import {memberRecordSchema} from './format-member.js';
import {type MemberRecord} from './membership.js';

function parseRecord(id: string, text: string): MemberRecord | undefined {
	try {
		const parsed = memberRecordSchema.safeParse(JSON.parse(text));
		return parsed.success ? {id, ...parsed.data} : undefined;
	} catch {
		return undefined;
	}
}

/**
 * Applies changes of the member records and chooses the neighbours again.
 *
 * @param node - the node, updated in place
 * @param changes - the changes; one without a value deletes the record
 * @param at - now, in milliseconds
 * @returns `peers-changed` when the neighbours or their addresses changed
 * @example
 * const effects = applyMemberChanges(node, [{key: 'rosemaryquay/members/entry-2', modRevision: 9}], at);
 */
export function applyMemberChanges(node: Node, changes: ReadonlyArray<Pick<Change, 'key' | 'value'>>, at: number): Effect[] {
	const {membership} = node;
	const {records, absentSince, registration} = membership;
	const prefix = `${registration.prefix ?? ''}members/`;
	const previousNeighbours = JSON.stringify(membership.neighbours.map(id => records.get(id)));
	for (const {key, value} of changes) {
		const id = key.slice(prefix.length);
		const record = value === undefined ? undefined : parseRecord(id, value);
		if (record === undefined) {
			if (records.delete(id)) {
				absentSince.set(id, at);
				membership.summaries.delete(id);
				membership.reports.delete(id);
				membership.lastReceived.delete(id);
				membership.announcedAt.delete(id);
			}
		} else {
			records.set(id, record);
			absentSince.delete(id);
		}
	}

	membership.neighbours = chooseNeighbours(node, [...records.values()]);
	const neighbours = membership.neighbours.map(id => records.get(id)).filter(record => record !== undefined);
	if (previousNeighbours === '[]') {
		// A process that has just learned of its first neighbours sends them its summary at the next tick.
		membership.summarySentAt = Number.NEGATIVE_INFINITY;
	}

	return JSON.stringify(neighbours) === previousNeighbours
		? []
		: [{type: 'peers-changed', peers: neighbours.map(({id, address, zone}) => ({id, address, zone}))}];
}
