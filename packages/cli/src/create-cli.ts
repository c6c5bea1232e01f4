import {Builtins, Cli} from 'clipanion';
import {CheckCommand} from './commands/check.js';
import {FleetApplyCommand} from './commands/fleet-apply.js';
import {FleetControlCommand} from './commands/fleet-control.js';
import {FleetDrainCommand, FleetMoveCommand} from './commands/fleet-instance.js';
import {FleetPlanCommand} from './commands/fleet-plan.js';
import {FleetStatusCommand} from './commands/fleet-status.js';

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
	for (const command of [CheckCommand, FleetApplyCommand, FleetControlCommand, FleetDrainCommand, FleetMoveCommand, FleetPlanCommand, FleetStatusCommand]) {
		cli.register(command);
	}

	return cli;
}
