import {Command, Option} from 'clipanion';
import {formatTable} from '../format-table.js';
import {OperatorCommand} from './operator-command.js';

type ZoneEntry = {readonly region: string; readonly withdrawn: boolean};

/** `rosemaryquay zones list`: lists the availability zones. */
export class ZonesListCommand extends OperatorCommand {
	static override paths = [['zones', 'list']];
	static override usage = Command.Usage({description: 'List the availability zones'});

	override async execute(): Promise<number> {
		const response = await this.client.call({path: '/operator/catalogue'});
		return this.printResponse(response, body => {
			const {zones} = body.catalogue as {zones: Record<string, ZoneEntry>};
			return formatTable(Object.entries(zones).map(([zone, {region, withdrawn}]) => ({zone, region, state: withdrawn ? 'withdrawn' : 'in use'})));
		});
	}
}

/** `rosemaryquay zones withdraw ZONE --yes` and `rosemaryquay zones restore ZONE`: withdraws or restores an availability zone. */
export class ZonesChangeCommand extends OperatorCommand {
	static override paths = [['zones', 'withdraw'], ['zones', 'restore']];
	static override usage = Command.Usage({
		description: 'Withdraw an availability zone, or restore it',
		details: 'Within seconds of a withdrawal nothing more is started in the zone. Without --yes the command only says what it would do.',
	});

	zone = Option.String();
	yes = Option.Boolean('--yes', false, {description: 'Withdraw the zone'});

	override async execute(): Promise<number> {
		const action = this.path[1] ?? 'restore';
		if (action === 'withdraw' && !this.yes) {
			this.context.stdout.write(`Would withdraw availability zone ${this.zone}; repeat with --yes\n`);
			return 0;
		}

		const response = await this.client.call({method: 'POST', path: `/operator/zones/${this.zone}/${action}`});
		return this.printResponse(response, body => this.describeEdit(body));
	}
}
