/**
 * Runs the stand-in of a worker as a process. It listens on a free port of loopback, sends its address to the parent,
 * registers itself in the store with a lease, and appends what it sees to a file of events.
 */
import {Buffer} from 'node:buffer';
import {appendFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';
import {createWorkers} from './create-fleet.js';
import {type FleetEvent} from './fleet-event.js';
import {readTaskBehaviour} from './read-task-behaviour.js';
import {WorkerHttp} from './worker-http.js';

/** Time to live of the registration, and the interval of its renewals and of attempts while the store does not answer. */
const registrationTtlMs = 3000;
const renewalIntervalMs = 500;

/** Time-out of a call to the store, shorter than the time to live. */
const storeTimeoutMs = 1000;

/** Interval at which runs that are due end although no request arrives. */
const advanceIntervalMs = 20;

const options = z.object({
	id: z.string(), position: z.number(), cpuMillis: z.number(), storeAddress: z.string(), publicAddress: z.string(), eventsFile: z.string(), clockRate: z.number(), ageMs: z.number(),
}).parse(JSON.parse(process.argv[2] ?? '{}'));

function record(event: FleetEvent): void {
	// Written before the answer is sent, so that no event is missing when the process is killed.
	appendFileSync(options.eventsFile, `${JSON.stringify(event)}\n`);
}

const {id: worker, cpuMillis, clockRate, ageMs} = options;
const [listing] = createWorkers(options.position + 1).slice(-1);
if (listing === undefined) {
	throw new Error('No listing was created');
}

const toWallClock = (at: number): number => Math.round(server.clockOriginMs + at);
const server = new WorkerHttp({
	listing: {
		...listing, id: worker, capacity: {...listing.capacity, cpuMillis}, startedAtMs: Date.now() - ageMs,
	},
	clockRate,
	ageMs,
	observer: {
		taskStarted(_worker, task, run, at) {
			record({
				type: 'started', at: toWallClock(at), worker, task, run,
			});
		},
		taskEnded(_worker, task, run, end, at) {
			record({
				type: 'ended', at: toWallClock(at), worker, task, run, end,
			});
		},
		endsLost: () => undefined,
		endReported: () => undefined,
		endConfirmed({task, run, end}, at) {
			record({
				type: 'confirmed', at: toWallClock(at), worker, task, run, end,
			});
		},
		workerCrashed: () => undefined,
	},
	getBehaviour: task => readTaskBehaviour(task, worker),
	onOrder({path, fence, status, receivedAt}) {
		record({
			type: 'ordered', at: receivedAt, worker, path, fence, status,
		});
	},
});

async function callStore(path: string, body: unknown): Promise<{status: number; body: unknown}> {
	try {
		const answer = await fetch(`http://${options.storeAddress}${path}`, {method: 'POST', body: JSON.stringify(body), signal: AbortSignal.timeout(storeTimeoutMs)});
		const text = await answer.text();
		return {status: answer.status, body: text === '' ? {} : JSON.parse(text)};
	} catch {
		return {status: 0, body: {}};
	}
}

async function keepRegistered(): Promise<void> {
	let lease: number | undefined;
	let hadExpired = false;
	for (;;) {
		if (lease !== undefined) {
			const renewed = await callStore(`/kv-keep/${lease}`, {});
			if (renewed.status === 404) {
				lease = undefined;
				hadExpired = true;
			}
		}

		if (lease === undefined) {
			const answer = await callStore('/kv-lease', {ttl_ms: registrationTtlMs});
			const granted = z.object({lease: z.number()}).safeParse(answer.body);
			if (granted.success) {
				const put = {key: `servers/${worker}`, value: Buffer.from(server.describe('ready', options.publicAddress)).toString('base64'), lease: granted.data.lease};
				const {status} = await callStore('/kv-txn', {puts: [put]});
				if (status === 200) {
					({lease} = granted.data);
					record({
						type: 'worker-listed', at: Date.now(), worker, hadExpired,
					});
				}
			}
		}

		await delay(renewalIntervalMs);
	}
}

process.on('message', message => {
	// The runs end at the moment of the kill, which only this process can record.
	z.object({type: z.literal('crash')}).parse(message);
	server.crash();
	record({type: 'worker-crashed', at: Date.now(), worker});
	process.kill(process.pid, 'SIGKILL');
});
process.once('disconnect', () => {
	process.exit(0);
});
await server.start();
record({
	type: 'worker-started', at: Date.now(), worker, cpuMillis,
});
setInterval(() => {
	server.advance();
}, advanceIntervalMs);
process.send?.({type: 'listening', address: server.address});
await keepRegistered();
