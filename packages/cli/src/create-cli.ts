import {Builtins, Cli} from 'clipanion';
import {AuditCommand} from './commands/audit.js';
import {CatalogueApplyCommand, CatalogueEditCommand, CatalogueGetCommand} from './commands/catalogue.js';
import {CheckCommand} from './commands/check.js';
import {PlanApplyCommand} from './commands/plan-apply.js';
import {PlanStatusChangeCommand} from './commands/plan-status-change.js';
import {InstanceDrainCommand, InstanceMoveCommand} from './commands/instance.js';
import {PlanCommand} from './commands/plan.js';
import {MaintenanceStatusCommand} from './commands/maintenance-status.js';
import {KeysGiveCommand, KeysListCommand, KeysWithdrawCommand} from './commands/keys.js';
import {ExplainCommand, MembersCommand, SharesCommand} from './commands/inspect.js';
import {ZonesChangeCommand, ZonesListCommand} from './commands/zones.js';

const commands = [
	AuditCommand,
	CatalogueApplyCommand,
	CatalogueEditCommand,
	CatalogueGetCommand,
	CheckCommand,
	ExplainCommand,
	PlanApplyCommand,
	PlanStatusChangeCommand,
	InstanceDrainCommand,
	InstanceMoveCommand,
	PlanCommand,
	MaintenanceStatusCommand,
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
