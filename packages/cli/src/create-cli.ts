import {Builtins, Cli} from 'clipanion';
import {AuditCommand} from './commands/audit.js';
import {CheckCommand} from './commands/check.js';

/**
 * Creates the command line with all its commands.
 *
 * @returns the command line
 * @example
 * await createCli().runExit(['check', 'catalogue.yaml']);
 */
export function createCli(): Cli {
	const cli = new Cli({binaryLabel: 'rosemaryquay', binaryName: 'rosemaryquay', binaryVersion: '0.1.0'});
	cli.register(Builtins.HelpCommand);
	cli.register(Builtins.VersionCommand);
	cli.register(AuditCommand);
	cli.register(CheckCommand);
	return cli;
}
