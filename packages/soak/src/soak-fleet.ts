import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {encodeConfiguration} from '@rosemaryquay/testing/jobs/encode-configuration-http';
import {encodeSettings} from '@rosemaryquay/testing/jobs/encode-settings-http';
import {ConnectionProxy} from './connection-proxy.js';
import {type EventLog} from './event-log.js';
import {type FaultTargets} from './plan-faults.js';
import {findFreePorts} from './find-free-ports.js';
import {HelperProcess} from './helper-process.js';
import {ProgramProcess} from './program-process.js';

/** Capacity of a worker. */
const workerCpuMillis = 8000;

/** Age of the workers when a run begins: the clock of the next life of one is far behind, by more than the longest lease. */
const firstAgeMs = 60_000;

/** Rate of the clock of every other worker, the slowest one that the platform documents. */
const slowClockRate = 0.98;

const portsPerProcess = 3;

/** Bound on the time to shut down that the settings give to the program. */
const shutdownSeconds = 6;

const testingFolder = path.dirname(fileURLToPath(import.meta.resolve('@rosemaryquay/testing/jobs/store-http')));

/** Organisations and their keys; the second one loses its key and gets it back. */
export const organisations = {north: 'key-north', south: 'key-south', east: 'key-east'} as const;
export type Organisation = keyof typeof organisations;

/** Upper limits of the organisations in thousandths of a core, 0 for none: one below what the workers have together, and one that few tasks reach. */
const limits: Readonly<Record<Organisation, number>> = {north: 16_000, south: 0, east: 6000};

/** All processes of a run: the program on several entry instances, the stand-ins of the platform, and the proxies between them. */
export class SoakFleet {
	readonly targets: FaultTargets;
	readonly programs = new Map<string, ProgramProcess>();
	readonly #folder: string;
	readonly #bundle: string;
	readonly #events: EventLog;
	readonly #helpers = new Map<string, HelperProcess>();
	readonly #withdrawn = new Map<Organisation, number>();
	readonly #proxies = new Map<string, ConnectionProxy>();
	/** Part of the ports in which to search for free ones; other fleets at the same time use other parts. */
	readonly #portOffset: number;
	#version = 0;

	constructor(options: {folder: string; bundle: string; events: EventLog; processCount: number; workerCount: number; portOffset?: number}) {
		const {folder, bundle, events, processCount, workerCount, portOffset = process.pid} = options;
		this.#portOffset = portOffset;
		this.#folder = folder;
		this.#bundle = bundle;
		this.#events = events;
		const processes = Array.from({length: processCount}, (_, position) => `entry-${position + 1}`);
		const workers = Array.from({length: workerCount}, (_, position) => `w${position + 1}`);
		this.targets = {
			processes,
			workers,
			connections: [
				...processes.flatMap(name => [`callers>${name}`, `${name}>store`, `${name}>instances`]),
				...workers.flatMap(worker => [`all>${worker}`, `${worker}>store`]),
			],
		};
	}

	async start(): Promise<void> {
		mkdirSync(this.#folder, {recursive: true});
		const {processes, workers, connections} = this.targets;
		const [store, instances] = await Promise.all([this.#startHelper('store', 'serve-store-http.js'), this.#startHelper('instances', 'serve-instances-http.js')]);
		for (const connection of connections) {
			const proxy = new ConnectionProxy();
			await proxy.start();
			proxy.setTarget(connection.endsWith('>instances') ? instances : store);
			this.#proxies.set(connection, proxy);
		}

		for (const [organisation, cpuMillis] of Object.entries(limits)) {
			this.#events.record('limited', {organisation, cpuMillis});
		}

		await this.changeConfiguration();
		await Promise.all(workers.map(async worker => this.startWorker(worker)));
		const portCount = processes.length * portsPerProcess;
		const ports = await findFreePorts(portCount, {offset: this.#portOffset * portCount});
		await Promise.all(processes.map(async (name, position) => this.#startProgram(name, ports.slice(position * portsPerProcess, (position + 1) * portsPerProcess))));
	}

	/** Proxy of a connection, named as in `targets`. */
	proxyOf(connection: string): ConnectionProxy {
		const proxy = this.#proxies.get(connection);
		if (proxy === undefined) {
			throw new Error(`There is no connection ${connection}`);
		}

		return proxy;
	}

	/** Gives a command to the stand-in of the store; resolves to the time at which it was carried out. */
	async commandStore(command: Readonly<Record<string, unknown>>): Promise<number> {
		return await this.#helpers.get('store')?.request(command) ?? 0;
	}

	/** Publishes a new version of the configuration; resolves to the time at which the store has it. */
	async changeConfiguration(): Promise<number> {
		this.#version++;
		const value = encodeConfiguration({
			version: this.#version,
			organisations: (Object.entries(organisations) as Array<[Organisation, string]>).map(([name, key]) => ({
				name,
				keys: (this.#withdrawn.get(name) ?? 0) > 0 ? [] : [key],
				weight: 1 + (this.#version % 2),
				limitCpuMillis: limits[name],
			})),
		});
		return this.commandStore({type: 'configure', value});
	}

	/** Withdraws the key of an organisation, or gives it back once no other fault withholds it. */
	async changeKey(organisation: Organisation, change: 'withdraw' | 'give-back'): Promise<void> {
		const count = (this.#withdrawn.get(organisation) ?? 0) + (change === 'withdraw' ? 1 : -1);
		this.#withdrawn.set(organisation, count);
		const key = organisations[organisation];
		if (count === 0) {
			// Recorded before the change, from which on the key may work again.
			this.#events.record('key-changed', {key, isValid: true});
		}

		const at = await this.changeConfiguration();
		if (count > 0) {
			this.#events.record('key-changed', {key, isValid: false}, at);
		}
	}

	async startWorker(worker: string): Promise<void> {
		const proxy = this.proxyOf(`all>${worker}`);
		const position = this.targets.workers.indexOf(worker);
		proxy.setTarget(await this.#startHelper(worker, 'serve-worker-http.js', {
			id: worker,
			position,
			clockRate: position % 2 === 0 ? slowClockRate : 1,
			ageMs: this.#helpers.has(worker) ? 0 : firstAgeMs,
			cpuMillis: workerCpuMillis,
			storeAddress: this.proxyOf(`${worker}>store`).address,
			publicAddress: proxy.address,
			eventsFile: this.#events.fileOf(worker),
		}));
	}

	/** Crashes a worker; calls that reach its address wait for its next life. */
	async killWorker(worker: string): Promise<void> {
		this.proxyOf(`all>${worker}`).removeTarget();
		const running = this.#helpers.get(worker);
		running?.send({type: 'crash'});
		await running?.exited;
	}

	/** Cuts a worker off from all others, or ends a cut that was begun; it runs on meanwhile. */
	changeCut(worker: string, change: 1 | -1): void {
		for (const connection of [`all>${worker}`, `${worker}>store`]) {
			this.proxyOf(connection).changeSilence(['there', 'back'], change);
		}
	}

	/** Process that owns the schedule, or was the last to: the one with the highest fencing token. */
	get owner(): ProgramProcess {
		const [owner] = [...this.programs.values()].toSorted((a, b) => b.lastFence - a.lastFence);
		if (owner === undefined) {
			throw new Error('The program has not been started');
		}

		return owner;
	}

	signalWorker(worker: string, signal: 'SIGSTOP' | 'SIGCONT'): void {
		this.#helpers.get(worker)?.signal(signal);
	}

	/** Stops all processes: the program by SIGTERM, the others by the end of their connection to this process. */
	async stop(): Promise<void> {
		await Promise.all([...this.programs.values()].map(async program => program.stop()));
		await Promise.all([...this.#helpers.values()].map(async helper => helper.stop()));
		for (const proxy of this.#proxies.values()) {
			proxy.close();
		}
	}

	/** Ends all processes at once, also paused ones. */
	kill(): void {
		for (const program of this.programs.values()) {
			program.kill();
		}

		for (const helper of this.#helpers.values()) {
			helper.signal('SIGKILL');
		}
	}

	/** Starts a stand-in; resolves to its address. */
	async #startHelper(name: string, module: string, argument: unknown = {}): Promise<string> {
		const helper = new HelperProcess(path.join(testingFolder, module), {argument, logFile: this.#fileOf(`${name}.log`)});
		this.#helpers.set(name, helper);
		return helper.readAddress();
	}

	async #startProgram(name: string, ports: readonly number[]): Promise<void> {
		const [callers, readiness, metrics] = ports.map(port => `127.0.0.1:${port}`) as [string, string, string];
		const settingsFile = this.#fileOf(`${name}.settings.json`);
		writeFileSync(settingsFile, encodeSettings({
			instance: name, callers, readiness, metrics, store: this.proxyOf(`${name}>store`).address, instances: this.proxyOf(`${name}>instances`).address, shutdownSeconds,
		}));
		this.proxyOf(`callers>${name}`).setTarget(callers);
		const program = new ProgramProcess(name, {
			bundle: this.#bundle, settingsFile, logFile: this.#fileOf(`${name}.log`), events: this.#events,
		});
		this.programs.set(name, program);
		await program.start();
	}

	#fileOf(name: string): string {
		return path.join(this.#folder, name);
	}
}
