/**
 * Runs the stand-in of the store as a process. It listens on a free port of loopback, sends its address to the parent,
 * and carries out the parent's commands in their order.
 */
import process from 'node:process';
import {z} from 'zod';
import {StoreHttp} from './store-http.js';

const commandSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('configure'), number: z.number(), value: z.string()}),
	z.object({type: z.literal('set-fault'), number: z.number(), fault: z.enum(['none', 'refuses', 'refuses-writes', 'silent', 'loses-answers', 'answers-late'])}),
	z.object({type: z.literal('lose-history'), number: z.number()}),
]);

const store = new StoreHttp();
process.on('message', message => {
	const command = commandSchema.parse(message);
	if (command.type === 'configure') {
		store.configure(command.value);
	} else if (command.type === 'set-fault') {
		store.fault = command.fault;
	} else {
		store.loseHistory();
	}

	process.send?.({type: 'carried-out', number: command.number, at: Date.now()});
});
process.once('disconnect', () => {
	process.exit(0);
});
await store.start();
process.send?.({type: 'listening', address: store.address});
