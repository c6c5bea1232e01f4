/**
 * Base class of the commands on the maintenance plan and on instances. To the options of `OperatorCommand` it adds the
 * prefix of their routes and the output of their responses.
 */
import {OperatorCommand} from './commands/operator-command.js';

/** Response of the daemon; `status` is 0 when no valid response was received. */
export type MaintenanceResponse = {readonly status: number; readonly body: Readonly<Record<string, unknown>>};

export abstract class MaintenanceCommand extends OperatorCommand {
	protected async call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<MaintenanceResponse> {
		const response = await this.client.call({method, path: `/operator/fleet/${path}`, ...(body !== undefined && {body})});
		return response.status === 0 ? {status: 0, body: {reason: 'daemon-unreachable', execution: 'outcome unknown', detail: response.body.title}} : response;
	}

	/** Prints a response and returns the exit code: 0 when done, 1 when refused or when the outcome is unknown. */
	protected printMaintenanceResponse(response: MaintenanceResponse, describe: (body: MaintenanceResponse['body']) => string): number {
		const isDone = response.status === 200;
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify({status: response.status, ...response.body})}\n`);
		} else if (isDone) {
			this.context.stdout.write(`${describe(response.body)}\n`);
		} else {
			const {reason = 'unknown', execution = 'outcome unknown', ...rest} = response.body;
			this.context.stderr.write(`${String(reason)} (${String(execution)}): ${JSON.stringify(rest)}\n`);
		}

		return isDone ? 0 : 1;
	}
}
