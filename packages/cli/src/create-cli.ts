import {Builtins, Cli} from 'clipanion';
import {AuditCommand} from './commands/audit.js';
import {CatalogueApplyCommand, CatalogueEditCommand, CatalogueGetCommand} from './commands/catalogue.js';
import {CheckCommand} from './commands/check.js';
import {FleetApplyCommand} from './commands/fleet-apply.js';
import {FleetControlCommand} from './commands/fleet-control.js';
import {FleetDrainCommand, FleetMoveCommand} from './commands/fleet-instance.js';
import {FleetPlanCommand} from './commands/fleet-plan.js';
import {FleetStatusCommand} from './commands/fleet-status.js';
import {KeysGiveCommand, KeysListCommand, KeysWithdrawCommand} from './commands/keys.js';
import {ExplainCommand, MembersCommand, SharesCommand} from './commands/state.js';
import {ZonesChangeCommand, ZonesListCommand} from './commands/zones.js';

const commands = [
	AuditCommand,
	CatalogueApplyCommand,
	CatalogueEditCommand,
	CatalogueGetCommand,
	CheckCommand,
	ExplainCommand,
	FleetApplyCommand,
	FleetControlCommand,
	FleetDrainCommand,
	FleetMoveCommand,
	FleetPlanCommand,
	FleetStatusCommand,
	KeysGiveCommand,
	KeysListCommand,
	KeysWithdrawCommand,
	MembersCommand,
	SharesCommand,
	ZonesChangeCommand,
	ZonesListCommand,
];

/**
 * Creates the operators' command line `rosemaryquay` with all its commands.
 *
 * @returns the command line
 * @example
 * await createCli().runExit(['check', 'catalogue.yaml']);
 */
export function createCli(): Cli {
	const cli = new Cli({binaryLabel: 'rosemaryquay', binaryName: 'rosemaryquay', binaryVersion: '0.1.0'});
	cli.register(Builtins.HelpCommand);
	cli.register(Builtins.VersionCommand);
	for (const command of commands) {
		cli.register(command);
	}

	return cli;
}
