import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {z} from 'zod';
import {planRecordSchema} from '@rosemaryquay/core/maintenance/records';
import {MaintenanceCommand} from '../maintenance-command.js';

const planFileSchema = z.strictObject({plan: planRecordSchema, revision: z.int()});

/** `rosemaryquay apply FILE`: applies a saved plan. */
export class PlanApplyCommand extends MaintenanceCommand {
	static override paths = [['apply']];
	static override usage = Command.Usage({description: 'Apply a plan that `plan --out` saved; a dry run without --yes'});

	yes = Option.Boolean('--yes', false, {description: 'Apply the plan'});
	file = Option.String();

	override async execute(): Promise<number> {
		let document: unknown;
		try {
			document = JSON.parse(await readFile(this.file, 'utf8'));
		} catch (error) {
			this.context.stderr.write(`${this.file}: ${error instanceof Error ? error.message : 'not readable'}\n`);
			return 1;
		}

		const parsed = planFileSchema.safeParse(document);
		if (!parsed.success) {
			this.context.stderr.write(`${this.file}: not a plan: ${parsed.error.message}\n`);
			return 1;
		}

		const response = await this.call('POST', 'apply', {...parsed.data, dryRun: !this.yes});
		return this.printMaintenanceResponse(response, ({revision, pools}) => (this.yes ? `applied at revision ${String(revision)}` : `dry run; --yes carries it out: ${JSON.stringify(pools)}`));
	}
}
