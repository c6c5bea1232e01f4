import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream, readFileSync, type WriteStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as delay} from 'node:timers/promises';
import {settingsVariable} from '@rosemaryquay/fleet-platform/settings';
import {z} from 'zod';
import {type EventLog} from './event-log.js';

/** Time within which the program must have started; after SIGTERM it has 6 s, and a busy machine some more. */
const startLimitMs = 15_000;
const stopLimitMs = 12_000;
const pollMs = 20;

const kilobyte = 1024;

/** Events of the log that report an error of the program itself. */
const errorEvents = new Set(['process-invariant-broken', 'call-failed', 'process-settings-invalid']);

const lineSchema = z.object({event: z.string().default(''), time: z.string().default(''), fence: z.number().default(0)});

/** The bundled program as a process of its own, which signals stop, pause, kill and restart. */
export class ProgramProcess {
	readonly name: string;
	readonly #options: {readonly bundle: string; readonly settingsFile: string; readonly logFile: string; readonly events: EventLog};
	readonly #log: WriteStream;
	#lastFence = 0;
	#child: ChildProcess | undefined;
	#isReady = false;
	#isAskedToExit = false;
	/** Number of faults that keep the process down or paused. */
	#downCount = 0;
	#pauseCount = 0;

	constructor(name: string, options: {bundle: string; settingsFile: string; logFile: string; events: EventLog}) {
		this.name = name;
		this.#options = options;
		this.#log = createWriteStream(options.logFile, {flags: 'a'});
	}

	/** Fencing token with which the process was last elected as the owner of the schedule; 0 if it never was. */
	get lastFence(): number {
		return this.#lastFence;
	}

	get isRunning(): boolean {
		return this.#child !== undefined;
	}

	async start(): Promise<void> {
		const {bundle, settingsFile} = this.#options;
		// The limits are those of deploy/system.toml.
		const child = spawn(process.execPath, ['--max-old-space-size=128', '--max-semi-space-size=2', bundle], {
			env: {...process.env, [settingsVariable]: settingsFile}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.#child = child;
		this.#isReady = false;
		this.#isAskedToExit = false;
		createInterface(child.stdout).on('line', line => {
			this.#readLine(line);
		});
		createInterface(child.stderr).on('line', line => {
			this.#log.write(`${line}\n`);
			this.#recordError(`standard error: ${line}`);
		});
		child.once('exit', (code, signal) => {
			this.#child = undefined;
			this.#options.events.record('exited', {process: this.name, code: code ?? -1, signal: signal ?? ''});
		});
		await waitUntil(() => this.#isReady || !this.isRunning, startLimitMs);
	}

	/** Sends a signal, unless the process is not running or has not installed its handlers yet. */
	signal(signal: NodeJS.Signals): void {
		if (this.#child === undefined || !this.#isReady) {
			return;
		}

		this.#options.events.record('signalled', {process: this.name, signal});
		this.#isAskedToExit ||= signal === 'SIGTERM' || signal === 'SIGKILL';
		this.#child.kill(signal);
	}

	takeDown(signal: 'SIGTERM' | 'SIGKILL'): void {
		this.#downCount++;
		this.signal(signal);
	}

	/** Starts the process again once it has exited, unless another fault still keeps it down. */
	async bringBack(): Promise<void> {
		this.#downCount--;
		if (this.#downCount > 0) {
			return;
		}

		await this.#waitForExit();
		if (this.#downCount === 0 && !this.isRunning) {
			await this.start();
		}
	}

	/** Begins a pause, or ends one that was begun; the process continues once all have ended. */
	changePause(change: 1 | -1): void {
		this.#pauseCount += change;
		this.signal(this.#pauseCount > 0 ? 'SIGSTOP' : 'SIGCONT');
	}

	recordMemory(): void {
		const resident = this.#child?.pid === undefined ? undefined : readResidentBytes(this.#child.pid);
		if (resident !== undefined) {
			this.#options.events.record('memory', {process: this.name, bytes: resident});
		}
	}

	/** Ends the process, whatever its state. */
	kill(): void {
		this.#child?.kill('SIGKILL');
	}

	async stop(): Promise<void> {
		this.signal('SIGTERM');
		await this.#waitForExit();
		this.#log.end();
	}

	async #waitForExit(): Promise<void> {
		// A signal that came before the program had started was not sent.
		await waitUntil(() => !this.isRunning || !this.#isAskedToExit, stopLimitMs);
		if (this.isRunning && this.#isAskedToExit) {
			this.#recordError('did not exit and is killed');
			this.signal('SIGKILL');
			await waitUntil(() => !this.isRunning, stopLimitMs);
		}
	}

	#readLine(line: string): void {
		this.#log.write(`${line}\n`);
		const decoded = lineSchema.safeParse(parseLine(line));
		if (!decoded.success) {
			this.#recordError(`standard output: ${line}`);
			return;
		}

		const {event, fence, time} = decoded.data;
		this.#isReady ||= event === 'process-started';
		if (event === 'owner-elected') {
			this.#lastFence = fence;
			this.#options.events.record('owner-elected', {process: this.name, fence}, Date.parse(time));
		} else if (errorEvents.has(event)) {
			this.#recordError(line);
		}
	}

	#recordError(text: string): void {
		this.#options.events.record('error-logged', {process: this.name, text});
	}
}

function parseLine(line: string): unknown {
	try {
		return JSON.parse(line);
	} catch {
		return undefined;
	}
}

function readResidentBytes(pid: number): number | undefined {
	try {
		const size = /^VmRSS:\s+(?<size>\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.size;
		return size === undefined ? undefined : Number(size) * kilobyte;
	} catch {
		return undefined;
	}
}

async function waitUntil(isDone: () => boolean, limitMs: number): Promise<void> {
	const endAt = Date.now() + limitMs;
	while (!isDone() && Date.now() < endAt) {
		await delay(pollMs);
	}
}
