import {Command, Option} from 'clipanion';
import {MaintenanceCommand} from '../maintenance-command.js';

/**
 * Base class of the commands on one instance: requests an action on its record at the revision given with `--revision`, by
 * default the one that the command reads first.
 */
abstract class InstanceCommand extends MaintenanceCommand {
	yes = Option.Boolean('--yes', false, {description: 'Perform the action'});
	revision = Option.String('--revision', {description: 'Revision of the record that the action is based on; by default the current one'});

	protected async requestAction(instance: string, action: string, target?: string): Promise<number> {
		const path = `instances/${encodeURIComponent(instance)}`;
		let revision = Number(this.revision);
		if (this.revision === undefined) {
			const current = await this.call('GET', path);
			if (current.status !== 200) {
				return this.printMaintenanceResponse(current, () => '');
			}

			revision = Number(current.body.revision);
		}

		const response = await this.call('POST', `${path}/${action}`, {revision, dryRun: !this.yes, ...(target !== undefined && {target})});
		return this.printMaintenanceResponse(response, body => (this.yes
			? `${instance}: ${action} requested at revision ${String(body.revision)}; it begins when the budget allows`
			: `dry run; --yes performs it: ${JSON.stringify(body.record)}`));
	}
}

/** `rosemaryquay drain INSTANCE`: drains an instance and keeps it drained; `--undo` returns it. */
export class InstanceDrainCommand extends InstanceCommand {
	static override paths = [['drain']];
	static override usage = Command.Usage({description: 'Drain an instance and keep it out of service; a dry run without --yes'});

	undo = Option.Boolean('--undo', false, {description: 'Return a drained or suspect instance to service'});
	instance = Option.String();

	override async execute(): Promise<number> {
		return this.requestAction(this.instance, this.undo ? 'return' : 'drain');
	}
}

/** `rosemaryquay move INSTANCE POOL`: moves an instance to another pool. */
export class InstanceMoveCommand extends InstanceCommand {
	static override paths = [['move']];
	static override usage = Command.Usage({description: 'Move an instance to another pool; a dry run without --yes'});

	instance = Option.String();
	pool = Option.String();

	override async execute(): Promise<number> {
		return this.requestAction(this.instance, 'move', this.pool);
	}
}
