/**
 * Real daemons under load: all restarted in turn, then one killed and one paused.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {findViolations} from '@rosemaryquay/cli/audit/find-violations';
import {parseTrace} from '@rosemaryquay/cli/audit/parse-trace';
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {WorkerServer} from '@rosemaryquay/testing/worker-server';
import {checkBound} from '../check-bound.js';
import {type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {Balancer, type Exchange} from '../processes/balancer.js';
import {type DaemonProcess, startDaemon} from '../processes/start-daemon.js';
import {type Platform, startPlatform} from '../processes/start-platform.js';

const instances = 8;
const serviceTimeMs = 25;
const requestsPerSecond = 150;
const readinessDelayMs = 800;
const pauseMs = 4000;
const settleMs = 2000;

/** Longest time from the end of an instance until the balancer has noticed. */
const detectionMs = 1000;

type Fleet = {
	readonly workers: WorkerServer[];
	readonly instances: ListedInstance[];
};

async function startWorkers(user: User): Promise<Fleet> {
	const fleet: Fleet = {workers: [], instances: []};
	for (const instance of user.instances) {
		const worker = new WorkerServer({serviceTimeMs});
		await worker.start();
		fleet.workers.push(worker);
		fleet.instances.push({...instance, address: worker.address});
	}

	return fleet;
}

class System {
	readonly balancer = new Balancer();
	readonly trace: string[] = [];
	readonly daemons = new Map<string, DaemonProcess>();
	readonly #user: User;
	readonly #platform: Platform;
	#loading = true;
	#sent = 0;

	constructor(options: {user: User; platform: Platform}) {
		this.#user = options.user;
		this.#platform = options.platform;
	}

	async startDaemon(index: number): Promise<void> {
		const {zones} = this.#user.fleet;
		const instance = `entry-${index}`;
		const daemon = await startDaemon(this.#platform, {
			instance,
			zone: zones[index % zones.length] ?? '',
			settings: {
				log: {trace: true},
				peer: {host: '127.0.0.1', port: 0},
				peerSecret: 'a secret for one run of an experiment',
				limits: {readinessDelayMs},
			},
			onLine: line => {
				this.trace.push(line);
			},
		});
		this.daemons.set(instance, daemon);
		this.balancer.set(instance, daemon.url);
	}

	/** Sends requests to the user's queues in turn, with keys of its teams in turn. */
	async load(): Promise<void> {
		const teams = Object.keys(this.#user.catalogue.teams);
		const queues = Object.keys(this.#user.catalogue.queues);
		const pending: Array<Promise<void>> = [];
		const begun = performance.now();
		while (this.#loading) {
			const due = Math.floor((performance.now() - begun) * requestsPerSecond / 1000);
			while (this.#sent < due) {
				const team = teams[this.#sent % teams.length] ?? '';
				const queue = queues[this.#sent % queues.length] ?? '';
				pending.push(this.balancer.submit({
					path: `/queues/${queue}`,
					headers: {authorization: `Bearer example-key-${team}`, 'content-type': 'text/plain'},
					body: `request ${this.#sent}`,
				}));
				this.#sent += 1;
			}

			await delay(5);
		}

		await Promise.all(pending);
	}

	endLoad(): void {
		this.#loading = false;
	}

	async waitUntilReady(): Promise<void> {
		const deadline = performance.now() + 8000;
		while (this.balancer.readyCount < instances && performance.now() < deadline) {
			await delay(50);
		}
	}
}

function since(exchanges: readonly Exchange[], from: number, to: number): Exchange[] {
	return exchanges.filter(exchange => exchange.endedAt >= from && exchange.sentAt < to);
}

function isCut({status, whole}: Exchange): boolean {
	return status !== 200 || !whole;
}

async function restartAll(system: System): Promise<{from: number; to: number}> {
	const from = performance.now();
	for (let index = 0; index < instances; index++) {
		const instance = `entry-${index}`;
		await system.daemons.get(instance)?.stop('SIGTERM');
		await system.startDaemon(index);
		await system.waitUntilReady();
	}

	return {from, to: performance.now()};
}

async function disturb(system: System): Promise<{killedAt: number; pausedAt: number; resumedAt: number}> {
	const killedAt = performance.now();
	await system.daemons.get('entry-0')?.stop('SIGKILL');
	await delay(settleMs);
	await system.startDaemon(0);
	await system.waitUntilReady();
	const pausedAt = performance.now();
	const paused = system.daemons.get('entry-1');
	paused?.process.kill('SIGSTOP');
	await delay(pauseMs);
	paused?.process.kill('SIGCONT');
	const resumedAt = performance.now();
	await delay(settleMs);
	return {killedAt, pausedAt, resumedAt};
}

function evaluate(system: System, times: {from: number; to: number; killedAt: number; pausedAt: number; resumedAt: number}): Bound[] {
	const {exchanges} = system.balancer;
	const rolling = since(exchanges, times.from, times.to).filter(exchange => isCut(exchange));
	const killed = since(exchanges, times.killedAt, times.pausedAt).filter(exchange => isCut(exchange));
	const paused = since(exchanges, times.pausedAt, Number.POSITIVE_INFINITY).filter(exchange => isCut(exchange));
	const foreign = [
		...killed.filter(exchange => exchange.instance !== 'entry-0' || exchange.sentAt > times.killedAt + detectionMs),
		...paused.filter(exchange => exchange.instance !== 'entry-1' || exchange.sentAt > times.pausedAt + detectionMs),
	];
	const silent = paused.filter(exchange => exchange.status === undefined || (exchange.status !== 200 && exchange.execution === undefined));
	const {lines, unreadable} = parseTrace(system.trace.join('\n'));
	const none = {comparison: 'atMost', limit: 0, unit: 'requests'} as const;
	return [
		checkBound('requests cut by the rolling restart', rolling.length, none),
		checkBound('failures outside the killed or paused instance', foreign.length, none),
		checkBound('requests of the paused instance without a truthful end', silent.length, none),
		checkBound('violations that the audit finds', findViolations(lines).length, {...none, unit: 'violations'}),
		checkBound('trace lines that cannot be read', unreadable, {...none, unit: 'lines'}),
		checkBound('requests answered', exchanges.filter(exchange => !isCut(exchange)).length, {comparison: 'atLeast', limit: 1000, unit: 'requests'}),
	];
}

export const rollingRestart: Experiment = {
	summary: 'Eight real daemons restarted in turn under load, one killed, one paused',
	async run() {
		const [name = ''] = listUsers();
		const user = loadUser(name);
		const fleet = await startWorkers(user);
		const platform = await startPlatform(user.catalogue, fleet.instances);
		const system = new System({user, platform});
		try {
			await Promise.all(Array.from({length: instances}, async (_, index) => system.startDaemon(index)));
			void system.balancer.run();
			await system.waitUntilReady();
			const loaded = system.load();
			await delay(settleMs);
			const rolling = await restartAll(system);
			// Requests of the first phase end before the next one begins.
			await delay(settleMs);
			const disturbance = await disturb(system);
			system.endLoad();
			await loaded;
			const failures = system.balancer.exchanges.filter(exchange => isCut(exchange));
			return {
				bounds: evaluate(system, {...rolling, ...disturbance}),
				baselines: [],
				details: {
					rollingSeconds: (rolling.to - rolling.from) / 1000,
					failures: failures.slice(0, 20),
					violations: findViolations(parseTrace(system.trace.join('\n')).lines).slice(0, 10),
				},
			};
		} finally {
			await system.balancer.stop();
			await Promise.all([...system.daemons.values()].map(async daemon => daemon.stop('SIGKILL')));
			await platform.stop();
			await Promise.all(fleet.workers.map(async worker => worker.stop()));
		}
	},
};
