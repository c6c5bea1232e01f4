import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {type Edit, type EditResult} from '@rosemaryquay/core/catalogue/catalogue-state';
import {type Section} from '@rosemaryquay/core/catalogue/schema';
import {listOutdatedMembers} from '@rosemaryquay/core/membership/list-outdated-members';
import {type Node} from '@rosemaryquay/core/node/node';
import {type OperatorResponse} from './operator-request.js';

/** Dependencies of catalogue edits. */
export type CatalogueEditor = {
	readonly node: Node;
	now(): number;
	edit(edit: Edit): Promise<EditResult>;
};

type EntryEdit = {
	readonly operator: string;
	readonly section: Section;
	readonly name: string;
	/** `null` deletes the entry. */
	readonly value: unknown;
	readonly baseRevision?: number;
	readonly requestId?: string;
};

/** Maximum wait until all members have applied an edit; after it, the response lists those that have not. */
const appliedTimeoutMs = 8000;
const appliedPollIntervalMs = 20;

async function waitUntilApplied(editor: CatalogueEditor, revision: number): Promise<string[]> {
	const acceptedAt = editor.now();
	for (;;) {
		const at = editor.now();
		const outstanding = listOutdatedMembers(editor.node, revision, {acceptedAt, at});
		if (outstanding.length === 0 || at - acceptedAt > appliedTimeoutMs) {
			return outstanding;
		}

		await delay(appliedPollIntervalMs);
	}
}

type Responder<Type extends EditResult['type']> = (editor: CatalogueEditor, requestId: string, result: Extract<EditResult, {type: Type}>) => Promise<OperatorResponse> | OperatorResponse;

function problem(status: number, title: string, details: Record<string, unknown>): OperatorResponse {
	return {
		status, body: {
			type: 'about:blank', title, status, ...details,
		},
	};
}

const responders: {readonly [Type in EditResult['type']]: Responder<Type>} = {
	async accepted(editor, requestId, {revision}) {
		const outstanding = await waitUntilApplied(editor, revision);
		return {status: outstanding.length === 0 ? 200 : 202, body: {requestId, revision, outstanding}};
	},
	// `operator` is the author of the other edit.
	conflict: (_editor, requestId, {revision, operator, difference}) => problem(409, 'The entry has changed since the revision that the edit is based on', {
		requestId, revision, operator, difference,
	}),
	invalid: (_editor, requestId, {problems}) => problem(422, 'The catalogue would be invalid', {requestId, problems}),
	unavailable: (_editor, requestId) => problem(503, 'The store does not answer; nothing was written', {requestId}),
	'outcome-unknown': (_editor, requestId) => problem(504, 'The edit may have been stored; submit the same request identifier again', {requestId}),
};

/**
 * Edits one entry of the catalogue and waits until all members have applied the edit.
 *
 * @param editor - the node, its clock and the function that submits edits
 * @param entryEdit - operator, entry, new value and base revision, by default the current revision
 * @returns the response to the operator
 * @example
 * const response = await editEntry(editor, {operator: 'ann', section: 'zones', name: 'zone-a', value});
 */
export async function editEntry(editor: CatalogueEditor, entryEdit: EntryEdit): Promise<OperatorResponse> {
	const {baseRevision = editor.node.snapshot.revision, requestId = randomUUID(), ...entry} = entryEdit;
	const result = await editor.edit({...entry, baseRevision, requestId});
	return (responders[result.type] as Responder<EditResult['type']>)(editor, requestId, result);
}
