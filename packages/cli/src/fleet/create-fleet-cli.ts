import {Builtins, Cli} from 'clipanion';
import {CatalogueCommand} from './commands/catalogue.js';
import {CheckCommand} from './commands/check.js';
import {ExplainCommand} from './commands/explain.js';
import {JobCommand, JobsCommand} from './commands/jobs.js';
import {PoolsCommand} from './commands/pools.js';
import {StatusCommand} from './commands/status.js';
import {type FleetCliContext} from './fleet-cli-context.js';

/**
 * Creates the command line `rosemaryquay-fleet` for operators of the system when it runs on an external platform (see
 * `Platform`). Its commands only read the store of the platform: operators write configurations, withdrawn zones and waves
 * into it themselves.
 *
 * @returns the command line
 * @example
 * await createFleetCli().runExit(['status', '--settings', 'boot.json'], context);
 */
export function createFleetCli(): Cli<FleetCliContext> {
	const cli = new Cli<FleetCliContext>({binaryLabel: 'rosemaryquay on the platform', binaryName: 'rosemaryquay-fleet', binaryVersion: '0.1.0'});
	cli.register(Builtins.HelpCommand);
	cli.register(Builtins.VersionCommand);
	for (const command of [CatalogueCommand, CheckCommand, ExplainCommand, JobCommand, JobsCommand, PoolsCommand, StatusCommand]) {
		cli.register(command);
	}

	return cli;
}
