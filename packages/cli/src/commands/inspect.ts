import {Command, Option} from 'clipanion';
import {formatTable} from '../format-table.js';
import {OperatorCommand} from './operator-command.js';

/** `rosemaryquay members`: lists the daemons that one daemon knows as members, with the revision that each has applied. */
export class MembersCommand extends OperatorCommand {
	static override paths = [['members']];
	static override usage = Command.Usage({description: 'List the daemons (members) that one daemon knows, with the revision that each has applied'});

	override async execute(): Promise<number> {
		const response = await this.client.call({path: '/operator/members'});
		return this.printResponse(response, body => [...formatTable(body.members as Array<Record<string, unknown>>), `Revision ${String(body.revisionInForce)} is in force everywhere`]);
	}
}

/** `rosemaryquay shares`: lists the teams with their shares, limits and load. */
export class SharesCommand extends OperatorCommand {
	static override paths = [['shares'], ['limits']];
	static override usage = Command.Usage({description: 'List the teams with shares, upper limits, and what one daemon runs and queues for them'});

	override async execute(): Promise<number> {
		const response = await this.client.call({path: '/operator/shares'});
		return this.printResponse(response, body => formatTable(body.teams as Array<Record<string, unknown>>));
	}
}

/** `rosemaryquay explain REQUEST`: explains why a request was refused. */
export class ExplainCommand extends OperatorCommand {
	static override paths = [['explain']];
	static override usage = Command.Usage({description: 'Explain why a request was refused, by its identifier; only the daemon that refused it keeps the reason, for its latest refusals'});
	request = Option.String();

	override async execute(): Promise<number> {
		const response = await this.client.call({path: `/operator/requests/${this.request}`});
		return this.printResponse(response, body => formatTable([body]));
	}
}
