import {type MaintenanceSettings} from '@rosemaryquay/core/maintenance/settings';
import {type EffectContext} from '../effect-context.js';
import {type CatalogueEditor} from './edit-entry.js';
import {fleetHandlers} from './fleet-handlers.js';
import {type OperatorRoute} from './operator-request.js';

/**
 * Lists the routes for plans, drains, returns and moves.
 *
 * @param editor - the node, whose current catalogue the commands use
 * @param context - the store and its key prefix
 * @param settings - default weights and expected duration of a step
 * @returns the routes
 * @example
 * mountRoutes(router, {routes: listFleetRoutes(editor, host, settings.maintenance), logger, snapshot});
 */
export function listFleetRoutes(editor: Pick<CatalogueEditor, 'node'>, context: EffectContext, settings: MaintenanceSettings): OperatorRoute[] {
	return fleetHandlers.map(({method, path, handler}) => ({
		method,
		path,
		handler: async ({parameters, body}) => handler({
			store: context.store,
			prefix: context.prefix,
			catalogue: editor.node.snapshot.catalogue,
			utcMs: Date.now(),
			weights: settings.weights,
			stepMs: settings.stepMs,
		}, {params: parameters, body}),
	}));
}
