import {editEntry, type CatalogueEditor} from './edit-entry.js';
import {type OperatorRequest, type OperatorResponse, type OperatorRoute} from './operator-request.js';

async function setWithdrawn(editor: CatalogueEditor, request: OperatorRequest, withdrawn: boolean): Promise<OperatorResponse> {
	const {zone: name = ''} = request.parameters;
	const {zones} = editor.node.snapshot.catalogue;
	const zone = Object.hasOwn(zones, name) ? zones[name] : undefined;
	if (zone === undefined) {
		return {status: 404, body: {type: 'about:blank', title: `The catalogue has no availability zone "${name}"`, status: 404}};
	}

	return editEntry(editor, {
		operator: request.operator, section: 'zones', name, value: {...zone, withdrawn},
	});
}

/**
 * Lists the routes that withdraw and restore availability zones.
 *
 * @param editor - the node, its clock and the function that submits edits
 * @returns the routes
 * @example
 * mountRoutes(router, {routes: listZoneRoutes(editor), logger, snapshot});
 */
export function listZoneRoutes(editor: CatalogueEditor): OperatorRoute[] {
	return [
		{method: 'POST', path: '/operator/zones/:zone/withdraw', handler: async request => setWithdrawn(editor, request, true)},
		{method: 'POST', path: '/operator/zones/:zone/restore', handler: async request => setWithdrawn(editor, request, false)},
	];
}
