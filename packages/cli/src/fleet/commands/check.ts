import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {type FleetCliContext} from '../fleet-cli-context.js';
import {exitCodes} from '../platform-command.js';

/** `rosemaryquay-fleet check FILE…`: validates settings files offline and lists all their problems. */
export class CheckCommand extends Command<FleetCliContext> {
	static override paths = [['check']];
	static override usage = Command.Usage({description: 'Validate settings files of processes'});

	json = Option.Boolean('--json', false, {description: 'Print one JSON object'});
	files = Option.Rest({required: 1});

	override async execute(): Promise<number> {
		const results: Array<{file: string; problems: readonly string[]}> = [];
		for (const file of this.files) {
			try {
				const decoded = this.context.decodeSettings(await readFile(file, 'utf8'));
				results.push({file, problems: decoded.ok ? [] : decoded.problems});
			} catch (error) {
				results.push({file, problems: [(error as Error).message]});
			}
		}

		if (this.json) {
			this.context.stdout.write(`${JSON.stringify({files: results})}\n`);
		} else {
			for (const {file, problems} of results) {
				this.context.stdout.write(problems.length === 0 ? `${file}: valid\n` : problems.map(problem => `${file}: ${problem}\n`).join(''));
			}
		}

		return results.some(({problems}) => problems.length > 0) ? exitCodes.invalidInput : 0;
	}
}
