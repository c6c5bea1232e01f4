import {Command, Option} from 'clipanion';
import {formatTable} from '../format-table.js';
import {OperatorCommand} from './operator-command.js';

/** `rosemaryquay keys list TEAM`: lists the keys of a team. */
export class KeysListCommand extends OperatorCommand {
	static override paths = [['keys', 'list']];
	static override usage = Command.Usage({description: 'List the keys of a team; only their hashes are stored'});
	team = Option.String();

	override async execute(): Promise<number> {
		const response = await this.client.call({path: `/operator/teams/${this.team}/keys`});
		return this.printResponse(response, body => formatTable(body.keys as Array<Record<string, unknown>>));
	}
}

/** `rosemaryquay keys give TEAM NAME`: creates a key for a team. */
export class KeysGiveCommand extends OperatorCommand {
	static override paths = [['keys', 'give']];
	static override usage = Command.Usage({
		description: 'Create a further key for a team; it is shown only once',
		details: 'To rotate a key, give a second one, let the team switch to it, then withdraw the first one.',
	});

	team = Option.String();
	name = Option.String();
	note = Option.String('--note', {description: 'A note for other operators'});

	override async execute(): Promise<number> {
		const response = await this.client.call({
			method: 'POST', path: `/operator/teams/${this.team}/keys/${this.name}`, body: this.note === undefined ? {} : {note: this.note},
		});
		return this.printResponse(response, body => [String(body.key), ...this.describeEdit(body)]);
	}
}

/** `rosemaryquay keys withdraw TEAM NAME`: revokes a key of a team. */
export class KeysWithdrawCommand extends OperatorCommand {
	static override paths = [['keys', 'withdraw']];
	static override usage = Command.Usage({description: 'Revoke a key of a team; all instances reject it within seconds'});
	team = Option.String();
	name = Option.String();

	override async execute(): Promise<number> {
		const response = await this.client.call({method: 'DELETE', path: `/operator/teams/${this.team}/keys/${this.name}`});
		return this.printResponse(response, body => this.describeEdit(body));
	}
}
