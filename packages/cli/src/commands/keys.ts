import {Command, Option} from 'clipanion';
import {formatTable} from '../format-table.js';
import {OperatorCommand} from './operator-command.js';

/** `rosemaryquay keys list TEAM` */
export class KeysListCommand extends OperatorCommand {
	static override paths = [['keys', 'list']];
	static override usage = Command.Usage({description: 'List the keys of a team; only their hashes are stored'});
	team = Option.String();

	override async execute(): Promise<number> {
		const answer = await this.client.call({path: `/operator/teams/${this.team}/keys`});
		return this.finish(answer, body => formatTable(body.keys as Array<Record<string, unknown>>));
	}
}

/** `rosemaryquay keys give TEAM NAME` */
export class KeysGiveCommand extends OperatorCommand {
	static override paths = [['keys', 'give']];
	static override usage = Command.Usage({
		description: 'Give a team a further key; it is shown once',
		details: 'To rotate a key, give a second one, let the team change over, then withdraw the first one.',
	});

	team = Option.String();
	name = Option.String();
	note = Option.String('--note', {description: 'A note for other operators'});

	override async execute(): Promise<number> {
		const answer = await this.client.call({
			method: 'POST', path: `/operator/teams/${this.team}/keys/${this.name}`, body: this.note === undefined ? {} : {note: this.note},
		});
		return this.finish(answer, body => [String(body.key), ...this.describeEdit(body)]);
	}
}

/** `rosemaryquay keys withdraw TEAM NAME` */
export class KeysWithdrawCommand extends OperatorCommand {
	static override paths = [['keys', 'withdraw']];
	static override usage = Command.Usage({description: 'Withdraw a key of a team; it stops working everywhere within seconds'});
	team = Option.String();
	name = Option.String();

	override async execute(): Promise<number> {
		const answer = await this.client.call({method: 'DELETE', path: `/operator/teams/${this.team}/keys/${this.name}`});
		return this.finish(answer, body => this.describeEdit(body));
	}
}
