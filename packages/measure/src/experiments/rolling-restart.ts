/**
 * Runs daemons in child processes under load: restarts all of them in turn, then kills one and pauses one.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {findViolations} from '@rosemaryquay/cli/audit/find-violations';
import {parseTrace} from '@rosemaryquay/cli/audit/parse-trace';
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {WorkerServer} from '@rosemaryquay/testing/worker-server';
import {checkBound} from '../check-bound.js';
import {type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';
import {LoadBalancer, type Exchange} from '../processes/load-balancer.js';
import {type DaemonProcess, startDaemon} from '../processes/start-daemon.js';
import {type Platform, startPlatform} from '../processes/start-platform.js';

const instances = 8;
const serviceTimeMs = 25;
const requestsPerSecond = 150;
const readinessDelayMs = 800;
const pauseMs = 4000;
const settleMs = 2000;

/** Maximum time until the balancer detects that an instance was killed or paused. */
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

class Deployment {
	readonly balancer = new LoadBalancer();
	readonly trace: string[] = [];
	readonly daemons = new Map<string, DaemonProcess>();
	readonly #user: User;
	readonly #platform: Platform;
	#isGeneratingLoad = true;
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

	/** Sends requests at a constant rate until `stopLoad` is called, cycling through the user's queues and the keys of its teams. */
	async generateLoad(): Promise<void> {
		const teams = Object.keys(this.#user.catalogue.teams);
		const queues = Object.keys(this.#user.catalogue.queues);
		const pending: Array<Promise<void>> = [];
		const begun = performance.now();
		while (this.#isGeneratingLoad) {
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

	stopLoad(): void {
		this.#isGeneratingLoad = false;
	}

	async waitUntilReady(): Promise<void> {
		const deadline = performance.now() + 8000;
		while (this.balancer.readyCount < instances && performance.now() < deadline) {
			await delay(50);
		}
	}
}

function selectExchanges(exchanges: readonly Exchange[], from: number, to: number): Exchange[] {
	return exchanges.filter(exchange => exchange.endedAt >= from && exchange.sentAt < to);
}

function isFailed({status, whole}: Exchange): boolean {
	return status !== 200 || !whole;
}

async function restartAll(deployment: Deployment): Promise<{from: number; to: number}> {
	const from = performance.now();
	for (let index = 0; index < instances; index++) {
		const instance = `entry-${index}`;
		await deployment.daemons.get(instance)?.stop('SIGTERM');
		await deployment.startDaemon(index);
		await deployment.waitUntilReady();
	}

	return {from, to: performance.now()};
}

async function killAndPause(deployment: Deployment): Promise<{killedAt: number; pausedAt: number; resumedAt: number}> {
	const killedAt = performance.now();
	await deployment.daemons.get('entry-0')?.stop('SIGKILL');
	await delay(settleMs);
	await deployment.startDaemon(0);
	await deployment.waitUntilReady();
	const pausedAt = performance.now();
	const paused = deployment.daemons.get('entry-1');
	paused?.process.kill('SIGSTOP');
	await delay(pauseMs);
	paused?.process.kill('SIGCONT');
	const resumedAt = performance.now();
	await delay(settleMs);
	return {killedAt, pausedAt, resumedAt};
}

function evaluate(deployment: Deployment, times: {from: number; to: number; killedAt: number; pausedAt: number; resumedAt: number}): Bound[] {
	const {exchanges} = deployment.balancer;
	const rolling = selectExchanges(exchanges, times.from, times.to).filter(exchange => isFailed(exchange));
	const killed = selectExchanges(exchanges, times.killedAt, times.pausedAt).filter(exchange => isFailed(exchange));
	const paused = selectExchanges(exchanges, times.pausedAt, Number.POSITIVE_INFINITY).filter(exchange => isFailed(exchange));
	const unrelatedFailures = [
		...killed.filter(exchange => exchange.instance !== 'entry-0' || exchange.sentAt > times.killedAt + detectionMs),
		...paused.filter(exchange => exchange.instance !== 'entry-1' || exchange.sentAt > times.pausedAt + detectionMs),
	];
	const indeterminate = paused.filter(exchange => exchange.status === undefined || (exchange.status !== 200 && exchange.execution === undefined));
	const {lines, unreadable} = parseTrace(deployment.trace.join('\n'));
	const none = {comparison: 'atMost', limit: 0, unit: 'requests'} as const;
	return [
		checkBound('requests cut by the rolling restart', rolling.length, none),
		checkBound('failures outside the killed or paused instance', unrelatedFailures.length, none),
		checkBound('requests of the paused instance without a truthful end', indeterminate.length, none),
		checkBound('violations that the audit finds', findViolations(lines).length, {...none, unit: 'violations'}),
		checkBound('trace lines that cannot be read', unreadable, {...none, unit: 'lines'}),
		checkBound('requests answered', exchanges.filter(exchange => !isFailed(exchange)).length, {comparison: 'atLeast', limit: 1000, unit: 'requests'}),
	];
}

export const rollingRestart: Experiment = {
	summary: 'Eight real daemons restarted in turn under load, one killed, one paused',
	async run() {
		const [name = ''] = listUsers();
		const user = loadUser(name);
		const fleet = await startWorkers(user);
		const platform = await startPlatform(user.catalogue, fleet.instances);
		const deployment = new Deployment({user, platform});
		try {
			await Promise.all(Array.from({length: instances}, async (_, index) => deployment.startDaemon(index)));
			void deployment.balancer.run();
			await deployment.waitUntilReady();
			const loadFinished = deployment.generateLoad();
			await delay(settleMs);
			const rolling = await restartAll(deployment);
			// Requests of the rolling restart end before the next phase begins.
			await delay(settleMs);
			const faultTimes = await killAndPause(deployment);
			deployment.stopLoad();
			await loadFinished;
			const failures = deployment.balancer.exchanges.filter(exchange => isFailed(exchange));
			return {
				bounds: evaluate(deployment, {...rolling, ...faultTimes}),
				baselines: [],
				details: {
					rollingSeconds: (rolling.to - rolling.from) / 1000,
					failures: failures.slice(0, 20),
					violations: findViolations(parseTrace(deployment.trace.join('\n')).lines).slice(0, 10),
				},
			};
		} finally {
			await deployment.balancer.stop();
			await Promise.all([...deployment.daemons.values()].map(async daemon => daemon.stop('SIGKILL')));
			await platform.stop();
			await Promise.all(fleet.workers.map(async worker => worker.stop()));
		}
	},
};
