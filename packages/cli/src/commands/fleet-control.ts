import {Command, Option} from 'clipanion';
import {FleetCommand} from '../fleet-command.js';

/** `rosemaryquay pause|resume|abort`: controls the plan at the revision that the operator saw. */
export class FleetControlCommand extends FleetCommand {
	static override paths = [['pause'], ['resume'], ['abort']];
	static override usage = Command.Usage({description: 'Pause, resume or abort the plan; abort is a dry run without --yes'});

	yes = Option.Boolean('--yes', false, {description: 'Perform an abort'});
	revision = Option.String('--revision', {description: 'Revision of the plan that `status` showed; the present one by default'});

	override async execute(): Promise<number> {
		const [command = ''] = this.path;
		let revision = Number(this.revision);
		if (this.revision === undefined) {
			const status = await this.call('GET', 'status');
			if (status.status !== 200) {
				return this.print(status, () => '');
			}

			revision = Number(status.body.revision);
		}

		const dryRun = command === 'abort' && !this.yes;
		const answer = await this.call('POST', `plan/${command}`, {revision, dryRun});
		return this.print(answer, body => (dryRun ? 'dry run; --yes aborts the plan' : `${command} done at revision ${String(body.revision)}`));
	}
}
