import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {type FleetCliContext} from './fleet-cli-context.js';
import {type ReadResult} from './read-schedule-state.js';

/** Exit codes: what was asked for does not exist, a file is invalid or cannot be read, the store could not be read. */
export const exitCodes = {notFound: 1, invalidInput: 2, storeUnavailable: 3} as const;

/** Output of a command: the object that `--json` prints, the lines that are printed otherwise, and the exit code, 0 by default. */
export type CommandOutput = {readonly value: unknown; readonly lines: readonly string[]; readonly exitCode?: number};

/** Base class of the commands that read the store of the platform (see `Platform`). They write nothing to it. */
export abstract class PlatformCommand extends Command<FleetCliContext> {
	settings = Option.String('--settings', {required: true, description: 'Settings file of a process'});
	json = Option.Boolean('--json', false, {description: 'Print one JSON object'});

	override async execute(): Promise<number> {
		let text: string;
		try {
			text = await readFile(this.settings, 'utf8');
		} catch (error) {
			this.context.stderr.write(`${this.settings}: ${(error as Error).message}\n`);
			return exitCodes.invalidInput;
		}

		const decoded = this.context.decodeSettings(text);
		if (!decoded.ok) {
			this.context.stderr.write(decoded.problems.map(problem => `${this.settings}: ${problem}\n`).join(''));
			return exitCodes.invalidInput;
		}

		const platform = decoded.openPlatform();
		try {
			return this.#print(await this.createOutput(platform));
		} finally {
			await platform.close();
		}
	}

	protected abstract createOutput(platform: Platform): Promise<ReadResult<CommandOutput>>;

	#print(result: ReadResult<CommandOutput>): number {
		if (!result.ok) {
			this.context.stderr.write(`The store could not be read: ${result.detail}\n`);
			return exitCodes.storeUnavailable;
		}

		const {value, lines, exitCode = 0} = result.value;
		this.context.stdout.write(this.json ? `${JSON.stringify(value)}\n` : lines.map(line => `${line}\n`).join(''));
		return exitCode;
	}
}
