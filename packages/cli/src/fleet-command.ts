/**
 * What all fleet commands share: where the daemon is, the operator's key, and how answers are printed.
 */
import process from 'node:process';
import {Command, Option} from 'clipanion';
import {OperatorClient} from './operator-client.js';

/** Answer of the daemon; status 0 when none came. */
export type Answer = {readonly status: number; readonly body: Readonly<Record<string, unknown>>};

export abstract class FleetCommand extends Command {
	daemon = Option.String('--daemon', 'http://127.0.0.1:8080', {description: 'URL of a daemon'});
	key = Option.String('--key', {description: 'Operator key; the environment variable ROSEMARYQUAY_OPERATOR_KEY by default'});
	json = Option.Boolean('--json', false, {description: 'Print one JSON object'});

	protected async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<Answer> {
		const client = new OperatorClient({url: this.daemon, key: this.key ?? process.env.ROSEMARYQUAY_OPERATOR_KEY ?? ''});
		const answer = await client.call({method, path: `/operator/fleet/${path}`, ...(body !== undefined && {body})});
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
