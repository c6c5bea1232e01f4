import {Command, Option} from 'clipanion';
import {formatTable} from '../format-table.js';
import {OperatorCommand} from './operator-command.js';

type ZoneEntry = {readonly region: string; readonly withdrawn: boolean};

/** `rosemaryquay zones list` */
export class ZonesListCommand extends OperatorCommand {
	static override paths = [['zones', 'list']];
	static override usage = Command.Usage({description: 'List the availability zones'});

	override async execute(): Promise<number> {
		const answer = await this.client.call({path: '/operator/catalogue'});
		return this.finish(answer, body => {
			const {zones} = body.catalogue as {zones: Record<string, ZoneEntry>};
			return formatTable(Object.entries(zones).map(([zone, {region, withdrawn}]) => ({zone, region, state: withdrawn ? 'withdrawn' : 'in use'})));
		});
	}
}

/** `rosemaryquay zones withdraw ZONE --yes` and `rosemaryquay zones restore ZONE` */
export class ZonesChangeCommand extends OperatorCommand {
	static override paths = [['zones', 'withdraw'], ['zones', 'restore']];
	static override usage = Command.Usage({
		description: 'Withdraw an availability zone, or restore it',
		details: 'Withdrawing starts nothing more in the zone within seconds; without --yes it only tells what would be done.',
	});

	zone = Option.String();
	yes = Option.Boolean('--yes', false, {description: 'Withdraw the zone'});

	override async execute(): Promise<number> {
		const act = this.path[1] ?? 'restore';
		if (act === 'withdraw' && !this.yes) {
			this.context.stdout.write(`Would withdraw availability zone ${this.zone}; repeat with --yes\n`);
			return 0;
		}

		const answer = await this.client.call({method: 'POST', path: `/operator/zones/${this.zone}/${act}`});
		return this.finish(answer, body => this.describeEdit(body));
	}
}
