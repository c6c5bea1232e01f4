/**
 * Runs the proxies of all connections as a process, which carries out the commands of its parent.
 */
import process from 'node:process';
import {z} from 'zod';
import {ConnectionProxy, type Direction} from './connection-proxy.js';

const directionsSchema = z.array(z.enum(['there', 'back']));

const commandSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('set-target'), connection: z.string(), address: z.string()}),
	z.object({type: z.literal('set-delay'), connection: z.string(), delayMs: z.number()}),
	z.object({type: z.literal('begin-silence'), connection: z.string(), directions: directionsSchema}),
	z.object({type: z.literal('end-silence'), connection: z.string(), directions: directionsSchema}),
	z.object({type: z.literal('reset'), connection: z.string()}),
]);

export type ProxyCommand = z.infer<typeof commandSchema>;
type Handlers = {readonly [Type in ProxyCommand['type']]: (proxy: ConnectionProxy, command: Extract<ProxyCommand, {type: Type}>) => void};

const handlers: Handlers = {
	'set-target'(proxy, {address}) {
		proxy.setTarget(address);
	},
	'set-delay'(proxy, {delayMs}) {
		proxy.setDelay(delayMs);
	},
	'begin-silence'(proxy, {directions}) {
		for (const direction of directions satisfies Direction[]) {
			proxy.beginSilence(direction);
		}
	},
	'end-silence'(proxy, {directions}) {
		for (const direction of directions satisfies Direction[]) {
			proxy.endSilence(direction);
		}
	},
	reset(proxy) {
		proxy.reset();
	},
};

const connections = z.array(z.string()).parse(JSON.parse(process.argv[2] ?? '[]'));
const proxies = new Map(connections.map(connection => [connection, new ConnectionProxy()]));
process.on('message', message => {
	const command = commandSchema.parse(message);
	const proxy = proxies.get(command.connection);
	if (proxy !== undefined) {
		(handlers[command.type] as (proxy: ConnectionProxy, command: ProxyCommand) => void)(proxy, command);
	}
});
process.once('disconnect', () => {
	process.exit(0);
});
await Promise.all([...proxies.values()].map(async proxy => proxy.start()));
process.send?.({type: 'listening', addresses: Object.fromEntries([...proxies].map(([connection, {address}]) => [connection, address]))});
