import {createHash} from 'node:crypto';
import {PassThrough, Writable} from 'node:stream';
import {type TestContext} from 'node:test';
import {createCli} from '@rosemaryquay/cli/create-cli';
import {catalogueSchema} from '@rosemaryquay/core/catalogue/schema';
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {settingsSchema} from '@rosemaryquay/core/settings/schema';
import {createLogger} from '@rosemaryquay/daemon/create-logger';
import {Daemon} from '@rosemaryquay/daemon/daemon';
import {type StoreServer} from '@rosemaryquay/testing/store-server';
import {WorkerServer} from '@rosemaryquay/testing/worker-server';
import {startPlatform} from './processes/start-platform.js';

const operatorKey = 'the-key-of-the-first-operator';
const owner = 'operations';
export const catalogue = catalogueSchema.parse({
	organisations: {main: {owner}},
	teams: {
		main: {
			owner, organisation: 'main', share: 1, limits: {running: 8},
		},
	},
	pools: {web: {owner}},
	services: {web: {owner, pool: 'web', limits: {unavailable: 1}}},
	queues: {mail: {owner, service: 'web', repeatable: true}},
	zones: {'zone-a': {owner, region: 'main'}, 'zone-b': {owner, region: 'main'}},
});

type CommandResult = {readonly code: number; readonly out: string; readonly error: string};

/** Daemons on loopback that accept the commands of an operator. */
export type OperatorSystem = {
	readonly daemons: Daemon[];
	readonly store: StoreServer;
	readonly log: string[];
	run(...args: string[]): Promise<CommandResult>;
};

/**
 * Starts a platform and daemons on loopback that accept the commands of an operator.
 *
 * @param context - test at whose end the system is stopped
 * @param options - number of daemons, upstream instances in place of the default worker, and further settings of the daemons
 * @returns the system
 * @example
 * const {run} = await startOperatorSystem(context, {members: 2});
 */
export async function startOperatorSystem(context: TestContext, options: {members: number; instances?: readonly ListedInstance[]; settings?: Record<string, unknown>}): Promise<OperatorSystem> {
	const {members, instances, settings = {}} = options;
	const worker = new WorkerServer();
	await worker.start();
	const platform = await startPlatform(catalogue, instances ?? [{
		id: 'w-1', address: worker.address, zone: 'zone-a', rack: 'r-1', pool: 'web', state: 'live',
	}]);
	const log: string[] = [];
	const stream = new Writable({
		write(chunk, _encoding, done) {
			log.push(String(chunk));
			done();
		},
	});
	const daemons = Array.from({length: members}, (_, index) => new Daemon({
		settings: settingsSchema.parse({
			instance: `entry-${index}`,
			zone: 'zone-a',
			http: {host: '127.0.0.1', port: 0},
			peer: {host: '127.0.0.1', port: 0},
			peerSecret: 'a shared secret of at least 32 characters',
			store: {url: platform.store.url},
			instanceList: {url: platform.instanceList.url},
			operators: {ann: createHash('sha256').update(operatorKey).digest('hex')},
			...settings,
		}),
		logger: createLogger({name: `entry-${index}`, stream}),
	}));
	await Promise.all(daemons.map(async daemon => daemon.start()));
	context.after(async () => {
		await Promise.all(daemons.map(async daemon => daemon.close()));
		await platform.stop();
		await worker.stop();
	});
	return {
		daemons, store: platform.store, log, async run(...args) {
			const stdout = new PassThrough();
			const stderr = new PassThrough();
			const code = await createCli().run([...args, '--daemon', daemons[0]?.url ?? '', '--key', operatorKey], {stdout, stderr});
			return {code, out: String(stdout.read() ?? ''), error: String(stderr.read() ?? '')};
		},
	};
}

