import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {findLogLines} from '../find-log-lines.js';
import {type FleetCliContext} from '../fleet-cli-context.js';
import {formatLogLine} from '../format-log-line.js';
import {exitCodes} from '../platform-command.js';

/** `rosemaryquay-fleet explain ID FILE…`: shows the lines about a request or job in the logs of several processes. */
export class ExplainCommand extends Command<FleetCliContext> {
	static override paths = [['explain']];
	static override usage = Command.Usage({
		description: 'Show the lines about a request or job in the logs of several processes, in order of time',
		examples: [['Explain a job', 'rosemaryquay-fleet explain 00000000000000a1 entry-1.log entry-2.log']],
	});

	json = Option.Boolean('--json', false, {description: 'Print one JSON object'});
	id = Option.String();
	files = Option.Rest({required: 1});

	override async execute(): Promise<number> {
		const texts: string[] = [];
		for (const file of this.files) {
			try {
				texts.push(await readFile(file, 'utf8'));
			} catch (error) {
				this.context.stderr.write(`${file}: ${(error as Error).message}\n`);
				return exitCodes.invalidInput;
			}
		}

		const {lines, unreadable} = findLogLines(texts, this.id);
		if (unreadable > 0) {
			this.context.stderr.write(`${unreadable} lines are not in the log format and were skipped\n`);
		}

		this.context.stdout.write(this.json ? `${JSON.stringify({id: this.id, lines, unreadable})}\n` : lines.map(line => `${formatLogLine(line)}\n`).join(''));
		if (lines.length === 0) {
			this.context.stderr.write(`No log line names ${this.id}\n`);
			return exitCodes.notFound;
		}

		return 0;
	}
}
