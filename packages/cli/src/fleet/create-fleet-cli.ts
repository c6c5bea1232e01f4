import {Builtins, Cli} from 'clipanion';
import {CatalogueCommand} from './commands/catalogue.js';
import {CheckCommand} from './commands/check.js';
import {ExplainCommand} from './commands/explain.js';
import {JobCommand, JobsCommand} from './commands/jobs.js';
import {StatusCommand} from './commands/status.js';
import {type FleetContext} from './fleet-context.js';

/**
 * Creates the command line for operators of the platform. It reads; configurations, withdrawn zones and waves are written
 * into the store by the operators themselves.
 *
 * @returns the command line
 * @example
 * await createFleetCli().runExit(['status', '--settings', 'boot.json'], context);
 */
export function createFleetCli(): Cli<FleetContext> {
	const cli = new Cli<FleetContext>({binaryLabel: 'rosemaryquay on the platform', binaryName: 'rosemaryquay-fleet', binaryVersion: '0.1.0'});
	cli.register(Builtins.HelpCommand);
	cli.register(Builtins.VersionCommand);
	for (const command of [CatalogueCommand, CheckCommand, ExplainCommand, JobCommand, JobsCommand, StatusCommand]) {
		cli.register(command);
	}

	return cli;
}
