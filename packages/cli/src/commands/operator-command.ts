import process from 'node:process';
import {Command, Option} from 'clipanion';
import {type OperatorResponse, OperatorClient} from '../operator-client.js';

/**
 * Exit codes by HTTP status: 0 done, 3 conflict, 4 invalid input or key, 5 daemon not reached, 6 stored but not yet in force
 * everywhere. Every other status gives 1.
 */
const exitCodeByStatus = new Map([[200, 0], [202, 6], [401, 4], [400, 4], [404, 4], [409, 3], [422, 4], [0, 5]]);

/** Base class of the commands that call a running daemon: common options, and the output of responses. */
export abstract class OperatorCommand extends Command {
	daemon = Option.String('--daemon', process.env.ROSEMARYQUAY_DAEMON ?? 'http://127.0.0.1:8080', {description: 'URL of a daemon; by default ROSEMARYQUAY_DAEMON, or else http://127.0.0.1:8080'});
	key = Option.String('--key', {description: 'Key of the operator; by default ROSEMARYQUAY_OPERATOR_KEY, which keeps it out of the process list'});
	json = Option.Boolean('--json', false, {description: 'Print one JSON object'});

	protected get client(): OperatorClient {
		return new OperatorClient({url: this.daemon, key: this.key ?? process.env.ROSEMARYQUAY_OPERATOR_KEY ?? ''});
	}

	/** Prints a response and returns the exit code; `describe` returns the lines that are printed without `--json`. */
	protected printResponse(response: OperatorResponse, describe: (body: Record<string, unknown>) => readonly string[]): number {
		const {status, body} = response;
		const exitCode = exitCodeByStatus.get(status) ?? 1;
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify(body)}\n`);
			return exitCode;
		}

		if (status < 200 || status >= 300) {
			const {title = 'The daemon refused the request', problems, difference, operator} = body;
			this.context.stderr.write(`${String(title)}\n`);
			for (const detail of [problems, difference].flat().filter(entry => entry !== undefined)) {
				this.context.stderr.write(`  ${JSON.stringify(detail)}\n`);
			}

			if (typeof operator === 'string') {
				this.context.stderr.write(`  last changed by ${operator}\n`);
			}

			return exitCode;
		}

		for (const line of describe(body)) {
			this.context.stdout.write(`${line}\n`);
		}

		return exitCode;
	}

	/** Says whether an edit is in force on all daemons, or which of them have not confirmed it yet. */
	protected describeEdit(body: Record<string, unknown>): string[] {
		const outstanding = body.outstanding as string[];
		const revision = String(body.revision);
		return outstanding.length === 0
			? [`Revision ${revision} is in force everywhere`]
			: [`Revision ${revision} is stored; not yet confirmed by ${outstanding.join(', ')}`];
	}
}
