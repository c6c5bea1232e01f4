import {Command, Option} from 'clipanion';
import {FleetCommand} from '../fleet-command.js';

/** Shared by the commands on one instance: reads its revision, then asks the planner for a step. */
abstract class InstanceCommand extends FleetCommand {
	yes = Option.Boolean('--yes', false, {description: 'Perform it'});
	revision = Option.String('--revision', {description: 'Revision of the record that the operator saw; the present one by default'});

	protected async request(instance: string, action: string, target?: string): Promise<number> {
		const path = `instances/${encodeURIComponent(instance)}`;
		let revision = Number(this.revision);
		if (this.revision === undefined) {
			const status = await this.call('GET', path);
			if (status.status !== 200) {
				return this.print(status, () => '');
			}

			revision = Number(status.body.revision);
		}

		const answer = await this.call('POST', `${path}/${action}`, {revision, dryRun: !this.yes, ...(target !== undefined && {target})});
		return this.print(answer, body => (this.yes
			? `${instance}: ${action} requested at revision ${String(body.revision)}; it begins when the budget allows`
			: `dry run; --yes performs it: ${JSON.stringify(body.record)}`));
	}
}

/** `rosemaryquay drain INSTANCE`: drains an instance and keeps it drained; `--undo` returns it. */
export class FleetDrainCommand extends InstanceCommand {
	static override paths = [['drain']];
	static override usage = Command.Usage({description: 'Drain an instance and keep it out of service; a dry run without --yes'});

	undo = Option.Boolean('--undo', false, {description: 'Return a drained or suspect instance to service'});
	instance = Option.String();

	override async execute(): Promise<number> {
		return this.request(this.instance, this.undo ? 'return' : 'drain');
	}
}

/** `rosemaryquay move INSTANCE POOL`: moves an instance to another pool. */
export class FleetMoveCommand extends InstanceCommand {
	static override paths = [['move']];
	static override usage = Command.Usage({description: 'Move an instance to another pool; a dry run without --yes'});

	instance = Option.String();
	pool = Option.String();

	override async execute(): Promise<number> {
		return this.request(this.instance, 'move', this.pool);
	}
}
