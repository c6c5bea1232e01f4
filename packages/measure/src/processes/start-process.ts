import {type ChildProcess, spawn} from 'node:child_process';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';

/** A child process of an experiment. */
export type Child = {
	readonly process: ChildProcess;
	/** Resolves to the first line of standard output for which `select` gives a value. */
	readonly ready: Promise<string>;
	/** Sends a signal and resolves when the process has ended. */
	stop(signal?: NodeJS.Signals): Promise<number | undefined>;
};

type ProcessOptions = {
	readonly args?: readonly string[];
	readonly flags?: readonly string[];
	readonly select?: (line: string) => string | undefined;
	readonly onLine?: (line: string) => void;
};

/**
 * Starts a built program of this workspace.
 *
 * @param program - path of the program relative to `packages/`
 * @param options - arguments, command-line flags for Node.js, a listener for lines of standard output, and `select`, which returns a value for the line that reports readiness
 * @returns the child process
 * @example
 * const worker = startProcess('measure/dist/processes/worker-process.js');
 * const address = await worker.ready;
 */
export function startProcess(program: string, options: ProcessOptions = {}): Child {
	const {args = [], flags = [], select = (line: string) => line, onLine} = options;
	const path = fileURLToPath(new URL(`../../../${program}`, import.meta.url));
	const child = spawn(process.execPath, [...flags, path, ...args], {stdio: ['ignore', 'pipe', 'inherit']});
	const exited = new Promise<number | undefined>(resolve => {
		child.once('exit', code => {
			resolve(code ?? undefined);
		});
	});
	const ready = new Promise<string>((resolve, reject) => {
		createInterface({input: child.stdout}).on('line', line => {
			onLine?.(line);
			const value = select(line);
			if (value !== undefined) {
				resolve(value);
			}
		});
		child.once('exit', code => {
			reject(new Error(`${program} ended with code ${code} before it was ready`));
		});
	});
	return {
		process: child,
		ready,
		async stop(signal = 'SIGTERM') {
			child.kill(signal);
			return exited;
		},
	};
}
