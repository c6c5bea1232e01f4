import {type ChildProcess, fork} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {z} from 'zod';

const messageSchema = z.object({
	type: z.string(), address: z.string().default(''), number: z.number().default(0), at: z.number().default(0),
});

/** A stand-in as a process of its own, which takes commands as messages. */
export class HelperProcess {
	/** Resolves when the process has exited. */
	readonly exited: Promise<void>;
	readonly #child: ChildProcess;
	readonly #listening: Promise<z.infer<typeof messageSchema>>;
	readonly #waiting = new Map<number, (at: number) => void>();
	#lastNumber = 0;

	constructor(module: string, options: {argument: unknown; logFile: string}) {
		const child = fork(module, [JSON.stringify(options.argument)], {stdio: ['ignore', 'pipe', 'pipe', 'ipc']});
		this.#child = child;
		const log = createWriteStream(options.logFile, {flags: 'a'});
		child.stdout?.pipe(log, {end: false});
		child.stderr?.pipe(log, {end: false});
		this.exited = new Promise(resolve => {
			child.once('exit', () => {
				log.end();
				resolve();
			});
		});
		this.#listening = new Promise((resolve, reject) => {
			child.on('message', message => {
				const decoded = messageSchema.parse(message);
				if (decoded.type === 'listening') {
					resolve(decoded);
				} else {
					this.#waiting.get(decoded.number)?.(decoded.at);
					this.#waiting.delete(decoded.number);
				}
			});
			child.once('exit', code => {
				reject(new Error(`${module} exited with code ${code ?? '-'} before it listened; see ${options.logFile}`));
			});
		});
	}

	/** Address at which the stand-in listens. */
	async readAddress(): Promise<string> {
		const {address} = await this.#listening;
		return address;
	}

	send(command: Readonly<Record<string, unknown>>): void {
		if (this.#child.connected) {
			this.#child.send(command);
		}
	}

	/** Sends a command and resolves to the time, in milliseconds since 1970, at which it was carried out. */
	async request(command: Readonly<Record<string, unknown>>): Promise<number> {
		const number = ++this.#lastNumber;
		return new Promise(resolve => {
			this.#waiting.set(number, resolve);
			this.send({...command, number});
		});
	}

	signal(signal: 'SIGSTOP' | 'SIGCONT' | 'SIGKILL'): void {
		this.#child.kill(signal);
	}

	async stop(): Promise<void> {
		if (this.#child.connected) {
			this.#child.disconnect();
		}

		await this.exited;
	}
}
