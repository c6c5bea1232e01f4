/**
 * What all fleet commands share beside the options of operators: their paths, and how answers are printed.
 */
import {OperatorCommand} from './commands/operator-command.js';

/** Answer of the daemon; status 0 when none came. */
export type Answer = {readonly status: number; readonly body: Readonly<Record<string, unknown>>};

export abstract class FleetCommand extends OperatorCommand {
	protected async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Answer> {
		const answer = await this.client.call({method, path: `/operator/fleet/${path}`, ...(body !== undefined && {body})});
		return answer.status === 0 ? {status: 0, body: {reason: 'daemon-unreachable', execution: 'outcome unknown', detail: answer.body.title}} : answer;
	}

	/** Prints an answer and returns the exit code: 0 for done, 1 for refused or unknown. */
	protected print(answer: Answer, describe: (body: Answer['body']) => string): number {
		const done = answer.status === 200;
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify({status: answer.status, ...answer.body})}\n`);
		} else if (done) {
			this.context.stdout.write(`${describe(answer.body)}\n`);
		} else {
			const {reason = 'unknown', execution = 'outcome unknown', ...rest} = answer.body;
			this.context.stderr.write(`${String(reason)} (${String(execution)}): ${JSON.stringify(rest)}\n`);
		}

		return done ? 0 : 1;
	}
}
