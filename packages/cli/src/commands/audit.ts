import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {findViolations} from '../audit/find-violations.js';
import {parseTrace} from '../audit/parse-trace.js';
import {type TraceLine} from '../audit/trace-line.js';

/** `rosemaryquay audit TRACE…`: checks the traces of several instances for broken guarantees (see `Violation`). */
export class AuditCommand extends Command {
	static override paths = [['audit']];
	static override usage = Command.Usage({
		description: 'Check the traces of several instances for broken guarantees: limits, revoked keys, withdrawn zones, repeated runs',
		details: 'Daemons write a trace with `log: {trace: true}` in their settings. Exit code 0: no violation; 1: violations or unreadable lines; 2: a file cannot be read or holds no trace.',
		examples: [['Check the traces of two instances', 'rosemaryquay audit entry-1.log entry-2.log']],
	});

	json = Option.Boolean('--json', false, {description: 'Print one JSON object'});
	files = Option.Rest({required: 1});

	override async execute(): Promise<number> {
		const lines: TraceLine[] = [];
		let unreadable = 0;
		for (const file of this.files) {
			let text: string;
			try {
				text = await readFile(file, 'utf8');
			} catch (error) {
				this.context.stderr.write(`${file}: ${error instanceof Error ? error.message : String(error)}\n`);
				return 2;
			}

			const trace = parseTrace(text);
			lines.push(...trace.lines);
			unreadable += trace.unreadable;
		}

		if (lines.length === 0) {
			this.context.stderr.write('The files hold no trace; set `log: {trace: true}` in the settings of the daemons\n');
			return 2;
		}

		const violations = findViolations(lines);
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify({lines: lines.length, unreadable, violations})}\n`);
		} else {
			for (const {promise, at, detail} of violations) {
				this.context.stdout.write(`${promise} at ${new Date(at).toISOString()}: ${detail}\n`);
			}

			this.context.stdout.write(`${lines.length} trace lines, ${unreadable} unreadable, ${violations.length} violations\n`);
		}

		return violations.length === 0 && unreadable === 0 ? 0 : 1;
	}
}
