import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {type FleetContext} from './fleet-context.js';
import {type Reading} from './read-fleet.js';

/** Exit codes: the answer is no or there is none, the settings are wrong, the store could not be read. */
export const exitCodes = {refused: 1, invalid: 2, unavailable: 3} as const;

/** What a command found: an object for `--json`, and the lines for a reader. */
export type Finding = {readonly value: unknown; readonly lines: readonly string[]; readonly exitCode?: number};

/** A command that reads the platform's store. It changes nothing there. */
export abstract class PlatformCommand extends Command<FleetContext> {
	settings = Option.String('--settings', {required: true, description: 'Settings file of a process'});
	json = Option.Boolean('--json', false, {description: 'Print one JSON object'});

	override async execute(): Promise<number> {
		let text: string;
		try {
			text = await readFile(this.settings, 'utf8');
		} catch (error) {
			this.context.stderr.write(`${this.settings}: ${(error as Error).message}\n`);
			return exitCodes.invalid;
		}

		const opened = this.context.decodeSettings(text);
		if (!opened.ok) {
			this.context.stderr.write(opened.problems.map(problem => `${this.settings}: ${problem}\n`).join(''));
			return exitCodes.invalid;
		}

		const platform = opened.open();
		try {
			return this.#print(await this.find(platform));
		} finally {
			await platform.close();
		}
	}

	protected abstract find(platform: Platform): Promise<Reading<Finding>>;

	#print(reading: Reading<Finding>): number {
		if (!reading.ok) {
			this.context.stderr.write(`The store could not be read: ${reading.detail}\n`);
			return exitCodes.unavailable;
		}

		const {value, lines, exitCode = 0} = reading.value;
		this.context.stdout.write(this.json ? `${JSON.stringify(value)}\n` : lines.map(line => `${line}\n`).join(''));
		return exitCode;
	}
}
