import {Command, Option} from 'clipanion';
import {MaintenanceCommand} from '../maintenance-command.js';

/**
 * `rosemaryquay pause|resume|abort`: pauses, resumes or aborts the plan, provided that it is still at the revision given with
 * `--revision`, by default the one that the command reads first.
 */
export class PlanStatusChangeCommand extends MaintenanceCommand {
	static override paths = [['pause'], ['resume'], ['abort']];
	static override usage = Command.Usage({description: 'Pause, resume or abort the plan; abort is a dry run without --yes'});

	yes = Option.Boolean('--yes', false, {description: 'Abort the plan'});
	revision = Option.String('--revision', {description: 'Revision of the plan that `status` showed; by default the current one'});

	override async execute(): Promise<number> {
		const [command = ''] = this.path;
		let revision = Number(this.revision);
		if (this.revision === undefined) {
			const current = await this.call('GET', 'status');
			if (current.status !== 200) {
				return this.printMaintenanceResponse(current, () => '');
			}

			revision = Number(current.body.revision);
		}

		const dryRun = command === 'abort' && !this.yes;
		const response = await this.call('POST', `plan/${command}`, {revision, dryRun});
		return this.printMaintenanceResponse(response, body => (dryRun ? 'dry run; --yes aborts the plan' : `${command} done at revision ${String(body.revision)}`));
	}
}
