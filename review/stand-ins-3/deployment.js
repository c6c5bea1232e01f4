/* eslint-disable camelcase -- the platform's names */
/**
 * A small deployment on loopback: the store, the service that lists and moves machines, workers, and processes of the
 * project that are started with the command of the deploy file.
 */
import {spawn} from 'node:child_process';
import {
	appendFileSync, createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {call} from './http.js';

const root = fileURLToPath(new URL('../../', import.meta.url));
const startLimitMs = 20_000;

/** A case may run for 120 s; it ends as one that could not run before that. */
const caseLimitMs = 112_000;
const couldNotRunExitCode = 2;
const endingSignals = ['SIGINT', 'SIGTERM', 'SIGHUP'];

/** Reads the command of the project's program from the deploy file. */
function readCommand() {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<command>[^"]+)"/m.exec(text).groups.command.split(' ');
}

async function findFreePort() {
	return new Promise(resolve => {
		const server = createServer();
		server.listen(0, '127.0.0.1', () => {
			const {port} = server.address();
			server.close(() => {
				resolve(port);
			});
		});
	});
}

/** Writes what was sent, answered and run, with the milliseconds since the start of the script. */
export class Recorder {
	#file;
	#startedAt = Date.now();

	constructor(file) {
		this.#file = file;
		writeFileSync(file, '');
	}

	get elapsedMs() {
		return Date.now() - this.#startedAt;
	}

	write(event) {
		appendFileSync(this.#file, `${JSON.stringify({at: this.elapsedMs, ...event})}\n`);
	}
}

export class Deployment {
	fronts = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	#recorder;

	constructor({recorder}) {
		this.#recorder = recorder;
		setTimeout(() => {
			this.#abandon(`The case has run for ${caseLimitMs} ms`);
		}, caseLimitMs).unref();
		for (const signal of endingSignals) {
			process.once(signal, () => {
				this.#abandon(`The case was ended by ${signal}`);
			});
		}

		// An error of the script must not look like a broken rule.
		process.once('uncaughtException', error => {
			this.#abandon(error.stack);
		});
	}

	/** Ends the script and all processes that it started. */
	#abandon(reason) {
		process.stdout.write(`The case could not run: ${reason}\n`);
		for (const {child} of this.fronts) {
			child.kill('SIGKILL');
		}

		rmSync(this.#folder, {recursive: true, force: true});
		process.exit(couldNotRunExitCode); // eslint-disable-line unicorn/no-process-exit -- the script must end at once
	}

	/** Starts a process of the project; resolves once it is ready. */
	async startFront({name, zone, store, cloud, bounds = {}}) {
		const [front, ready, control, metrics] = await Promise.all(Array.from({length: 4}, async () => findFreePort()));
		const file = path.join(this.#folder, `${name}.json`);
		writeFileSync(file, JSON.stringify({
			node_name: name,
			role: 'rosemaryquay',
			machine_class: 'front',
			serves: ['front', 'control'],
			ip: '127.0.0.1',
			zone,
			listen: {
				front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`, control: `127.0.0.1:${control}`, metrics: `127.0.0.1:${metrics}`,
			},
			bootstrap: true,
			limits: {
				cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000,
			},
			heartbeat_ms: 1500,
			bounds: {
				grace_s: 6, revoke_ms: 5000, config_apply_ms: 2000, hold_max_ms: 10_000, stop_ms: 900, early_ms: 250, far_x: 1.5, ...bounds,
			},
			orders: 'call',
			platform: {
				address: store, form: 'kv', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1_048_576, ttl_min_ms: 1000,
			},
			cloud: {
				address: cloud, rate_per_s: 64, duties: [], duty_per_s: 64,
			},
		}));
		const [program, ...words] = readCommand();
		const log = createWriteStream(path.join(this.#folder, `${name}.log`));
		const child = spawn(program, words, {
			cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME, ROSEMARYQUAY_BOOT: file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		child.stdout.pipe(log);
		child.stderr.pipe(log);
		const entry = {
			name, zone, child, front: `127.0.0.1:${front}`, ready: `127.0.0.1:${ready}`, log: path.join(this.#folder, `${name}.log`),
		};
		this.fronts.push(entry);
		const endAt = Date.now() + startLimitMs;
		for (;;) {
			const {status} = await call({
				address: entry.ready, method: 'GET', path: '/ready', limitMs: 1000,
			});
			if (status === 200) {
				return entry;
			}

			if (Date.now() > endAt || child.exitCode !== null) {
				throw new Error(`${name} is not ready: ${readFileSync(entry.log, 'utf8').slice(-2000)}`);
			}

			await delay(50);
		}
	}

	/** Sends a call of a client and records it with its answer. */
	async callAsClient({front, host, method, path: target, key, body}) {
		const headers = {
			host, 'x-deadline-ms': '3000', ...(key !== undefined && {authorization: `Bearer ${key}`}), ...(body !== undefined && {'content-type': 'application/json'}),
		};
		const answer = await call({
			address: front.front, method, path: target, headers, body, limitMs: 3000,
		});
		this.#recorder.write({
			type: 'call', front: front.name, method, path: target, status: answer.status, answer: answer.body,
		});
		return answer;
	}

	/** Ends all processes that were started. */
	async stop() {
		await Promise.all(this.fronts.map(async ({child}) => {
			if (child.exitCode !== null || child.signalCode !== null) {
				return;
			}

			const ended = new Promise(resolve => {
				child.once('exit', resolve);
			});
			child.kill('SIGKILL');
			await ended;
		}));
		if (process.env.KEEP_LOGS === '1') {
			process.stderr.write(`${this.#folder}\n`);
		} else {
			rmSync(this.#folder, {recursive: true, force: true});
		}
	}
}
