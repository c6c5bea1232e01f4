/**
 * Runs callers that do not behave as a process: they send what the argument says and never read an answer. It reports
 * when it has sent for as long as it was told to, and keeps its connections until its parent leaves.
 */
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {z} from 'zod';

const reconnectDelayMs = 100;
const batchBytes = 16_384;

const plan = z.object({
	port: z.int(),
	connections: z.int(),
	/** What each connection sends first. */
	opening: z.string().default(''),
	/** What it sends again and again after that, as fast as it is read. */
	repeated: z.string().default(''),
	sendMs: z.number(),
}).parse(JSON.parse(process.argv[2] ?? '{}'));

const batch = plan.repeated.repeat(plan.repeated === '' ? 0 : Math.ceil(batchBytes / plan.repeated.length));
const endAt = Date.now() + plan.sendMs;
let opened = 0;

function open(): void {
	opened++;
	const socket = connect(plan.port, '127.0.0.1');
	socket.pause();
	socket.on('error', () => {
		// The close that follows opens the next connection.
	});
	socket.once('close', () => {
		if (Date.now() < endAt) {
			setTimeout(open, reconnectDelayMs);
		}
	});
	socket.once('connect', () => {
		socket.write(plan.opening);
		send(socket);
	});
	socket.on('drain', () => {
		send(socket);
	});
}

function send(socket: Socket): void {
	let isTaken = batch !== '';
	while (isTaken) {
		isTaken = socket.writable && Date.now() < endAt && socket.write(batch);
	}
}

process.once('disconnect', () => {
	process.exit(0);
});
for (let count = 0; count < plan.connections; count++) {
	open();
}

await delay(plan.sendMs);
process.send?.({type: 'sent', opened});
