import {Command} from 'clipanion';
import {MaintenanceCommand} from '../maintenance-command.js';

/** `rosemaryquay status`: shows the plan, each pool and what is out of service. */
export class MaintenanceStatusCommand extends MaintenanceCommand {
	static override paths = [['status']];
	static override usage = Command.Usage({description: 'Show the plan, the pools and what is out of service'});

	override async execute(): Promise<number> {
		return this.printMaintenanceResponse(await this.call('GET', 'status'), ({plan, revision, pools, outOfService}) => [
			`plan: ${JSON.stringify(plan)} at revision ${String(revision)}`,
			...Object.entries(pools as Record<string, unknown>).map(([pool, counts]) => `${pool}: ${JSON.stringify(counts)}`),
			...Object.entries(outOfService as Record<string, unknown>).map(([instance, record]) => `${instance}: ${JSON.stringify(record)}`),
		].join('\n'));
	}
}
