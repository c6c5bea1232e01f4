import {Command, Option} from 'clipanion';
import {formatTable} from '../format-table.js';
import {OperatorCommand} from './operator-command.js';

/** `rosemaryquay members` */
export class MembersCommand extends OperatorCommand {
	static override paths = [['members']];
	static override usage = Command.Usage({description: 'List the members as one daemon sees them, with the revision that each has'});

	override async execute(): Promise<number> {
		const answer = await this.client.call({path: '/operator/members'});
		return this.finish(answer, body => [...formatTable(body.members as Array<Record<string, unknown>>), `Revision ${String(body.revisionInForce)} is in force everywhere`]);
	}
}

/** `rosemaryquay shares` */
export class SharesCommand extends OperatorCommand {
	static override paths = [['shares'], ['limits']];
	static override usage = Command.Usage({description: 'List the teams with shares, upper limits, and what one daemon runs and queues for them'});

	override async execute(): Promise<number> {
		const answer = await this.client.call({path: '/operator/shares'});
		return this.finish(answer, body => formatTable(body.teams as Array<Record<string, unknown>>));
	}
}

/** `rosemaryquay explain REQUEST` */
export class ExplainCommand extends OperatorCommand {
	static override paths = [['explain']];
	static override usage = Command.Usage({description: 'Explain a refusal by its request identifier; ask the daemon that gave it'});
	request = Option.String();

	override async execute(): Promise<number> {
		const answer = await this.client.call({path: `/operator/requests/${this.request}`});
		return this.finish(answer, body => formatTable([body]));
	}
}
