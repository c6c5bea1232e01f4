import {z} from 'zod';
import {type Section, sectionSchemas} from '@rosemaryquay/core/catalogue/schema';
import {editEntry, type CatalogueEditor} from './edit-entry.js';
import {type OperatorRequest, type OperatorResponse, type OperatorRoute} from './operator-request.js';

const editSchema = z.strictObject({
	value: z.unknown().optional(),
	baseRevision: z.int().min(0).optional(),
	requestId: z.string().min(1).max(128).optional(),
});

function notFound(title: string): OperatorResponse {
	return {status: 404, body: {type: 'about:blank', title, status: 404}};
}

function isSection(section: string): section is Section {
	return Object.hasOwn(sectionSchemas, section);
}

async function editFromRequest(editor: CatalogueEditor, request: OperatorRequest, getValue: (body: z.infer<typeof editSchema>) => unknown): Promise<OperatorResponse> {
	const {section = '', name = ''} = request.parameters;
	if (!isSection(section)) {
		return notFound(`The catalogue has no section "${section}"; it has ${Object.keys(sectionSchemas).join(', ')}`);
	}

	const parsed = editSchema.safeParse(request.body ?? {});
	if (!parsed.success) {
		return {status: 400, body: {type: 'about:blank', title: z.prettifyError(parsed.error), status: 400}};
	}

	const {baseRevision, requestId} = parsed.data;
	return editEntry(editor, {
		operator: request.operator,
		section,
		name,
		value: getValue(parsed.data),
		...(baseRevision !== undefined && {baseRevision}),
		...(requestId !== undefined && {requestId}),
	});
}

/**
 * Lists the routes that read and edit the catalogue.
 *
 * @param editor - the node, its clock and the function that submits edits
 * @returns the routes
 * @example
 * mountRoutes(router, {routes: listCatalogueRoutes(editor), logger, snapshot});
 */
export function listCatalogueRoutes(editor: CatalogueEditor): OperatorRoute[] {
	const {node} = editor;
	return [
		{method: 'GET', path: '/operator/catalogue', handler: () => ({status: 200, body: {revision: node.snapshot.revision, catalogue: node.snapshot.catalogue}})},
		{
			method: 'GET', path: '/operator/catalogue/:section/:name', handler({parameters: {section = '', name = ''}}) {
				const entries: Record<string, unknown> = isSection(section) ? node.snapshot.catalogue[section] : {};
				if (!Object.hasOwn(entries, name)) {
					return notFound(`The catalogue has no entry ${section}/${name}`);
				}

				return {status: 200, body: {revision: node.snapshot.revision, value: entries[name]}};
			},
		},
		{method: 'PUT', path: '/operator/catalogue/:section/:name', handler: async request => editFromRequest(editor, request, body => body.value)},
		{method: 'DELETE', path: '/operator/catalogue/:section/:name', handler: async request => editFromRequest(editor, request, () => null)},
	];
}
