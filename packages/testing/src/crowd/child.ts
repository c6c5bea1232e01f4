import {type ChildProcess, fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';

type Message = {readonly type: string; readonly address?: string; readonly opened?: number};

/** A module of this package as a process of its own, which ends when this process leaves it. */
export class Child {
	readonly #process: ChildProcess;
	readonly #messages: Message[] = [];
	readonly #exited: Promise<void>;
	#wake: (() => void) | undefined;
	#lastNumber = 0;

	constructor(module: string, argument: unknown = {}) {
		this.#process = fork(fileURLToPath(import.meta.resolve(`@rosemaryquay/testing/${module}`)), [JSON.stringify(argument)], {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
		this.#process.on('message', message => {
			this.#messages.push(message as Message);
			this.#wake?.();
		});
		this.#exited = new Promise(resolve => {
			this.#process.once('exit', () => {
				this.#wake?.();
				resolve();
			});
		});
	}

	/** Resolves to the first message of a type. */
	async receive(type: string): Promise<Message> {
		for (;;) {
			const found = this.#messages.find(message => message.type === type);
			if (found !== undefined) {
				return found;
			}

			if (this.#process.exitCode !== null) {
				throw new Error(`A stand-in exited with code ${this.#process.exitCode} before it sent ${type}`);
			}

			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}
	}

	send(command: Readonly<Record<string, unknown>>): void {
		this.#process.send({...command, number: ++this.#lastNumber});
	}

	async leave(): Promise<void> {
		if (this.#process.connected) {
			this.#process.disconnect();
		}

		await this.#exited;
	}
}
