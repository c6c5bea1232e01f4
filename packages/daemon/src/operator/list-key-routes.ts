import {randomBytes} from 'node:crypto';
import {z} from 'zod';
import {changeKeys} from '@rosemaryquay/core/catalogue/change-keys';
import {generateKey, keyBytes} from '@rosemaryquay/core/catalogue/generate-key';
import {nameSchema, type Team} from '@rosemaryquay/core/catalogue/schema';
import {editEntry, type CatalogueEditor} from './edit-entry.js';
import {type OperatorRequest, type OperatorResponse, type OperatorRoute} from './operator-request.js';

const issueKeySchema = z.strictObject({note: z.string().max(200).optional(), baseRevision: z.int().min(0).optional()});

function problem(status: number, title: string): OperatorResponse {
	return {status, body: {type: 'about:blank', title, status}};
}

function findTeam(editor: CatalogueEditor, name: string): Team | undefined {
	const {teams} = editor.node.snapshot.catalogue;
	return Object.hasOwn(teams, name) ? teams[name] : undefined;
}

async function issueKey(editor: CatalogueEditor, request: OperatorRequest): Promise<OperatorResponse> {
	const {team: teamName = '', key: keyName = ''} = request.parameters;
	const team = findTeam(editor, teamName);
	const parsed = issueKeySchema.safeParse(request.body ?? {});
	if (team === undefined) {
		return problem(404, `The catalogue has no team "${teamName}"`);
	}

	if (!parsed.success || !nameSchema.safeParse(keyName).success) {
		return problem(400, parsed.success ? `"${keyName}" is not a name for a key` : z.prettifyError(parsed.error));
	}

	const {note, baseRevision} = parsed.data;
	const {key, hash} = generateKey(randomBytes(keyBytes));
	const changed = changeKeys(team, {
		type: 'give', name: keyName, hash, ...(note !== undefined && {note}),
	});
	if (!changed.ok) {
		return problem(409, `Team "${teamName}" already has a key "${keyName}"; give one under another name and withdraw this one`);
	}

	const response = await editEntry(editor, {
		operator: request.operator, section: 'teams', name: teamName, value: changed.team, ...(baseRevision !== undefined && {baseRevision}),
	});
	// Only the hash is stored, so the key appears in this response only.
	return response.status < 300 ? {status: response.status, body: {...response.body as Record<string, unknown>, key}} : response;
}

async function withdrawKey(editor: CatalogueEditor, request: OperatorRequest): Promise<OperatorResponse> {
	const {team: teamName = '', key: keyName = ''} = request.parameters;
	const team = findTeam(editor, teamName);
	const changed = team === undefined ? undefined : changeKeys(team, {type: 'withdraw', name: keyName});
	if (changed?.ok !== true) {
		return problem(404, `There is no key "${keyName}" of a team "${teamName}"`);
	}

	return editEntry(editor, {
		operator: request.operator, section: 'teams', name: teamName, value: changed.team,
	});
}

/**
 * Lists the routes that issue, withdraw and list keys of teams.
 *
 * @param editor - the node, its clock and the function that submits edits
 * @returns the routes
 * @example
 * mountRoutes(router, {routes: listKeyRoutes(editor), logger, snapshot});
 */
export function listKeyRoutes(editor: CatalogueEditor): OperatorRoute[] {
	return [
		{
			method: 'GET', path: '/operator/teams/:team/keys', handler({parameters: {team: name = ''}}) {
				const team = findTeam(editor, name);
				if (team === undefined) {
					return problem(404, `The catalogue has no team "${name}"`);
				}

				return {status: 200, body: {keys: Object.entries(team.keys).map(([key, {note}]) => ({name: key, note}))}};
			},
		},
		{method: 'POST', path: '/operator/teams/:team/keys/:key', handler: async request => issueKey(editor, request)},
		{method: 'DELETE', path: '/operator/teams/:team/keys/:key', handler: async request => withdrawKey(editor, request)},
	];
}
