import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {PassThrough, Writable} from 'node:stream';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {stringify} from 'yaml';
import {createCli} from '@rosemaryquay/cli/create-cli';
import {catalogueSchema} from '@rosemaryquay/core/catalogue/schema';
import {settingsSchema} from '@rosemaryquay/core/settings/schema';
import {createLogger} from '@rosemaryquay/daemon/create-logger';
import {Daemon} from '@rosemaryquay/daemon/daemon';
import {WorkerServer} from '@rosemaryquay/testing/worker-server';
import {startPlatform} from './processes/start-platform.js';

const operatorKey = 'the-key-of-the-first-operator';
const owner = 'operations';
const catalogue = catalogueSchema.parse({
	organisations: {main: {owner}},
	teams: {
		main: {
			owner, organisation: 'main', share: 1, limits: {running: 8},
		},
	},
	pools: {web: {owner}},
	services: {web: {owner, pool: 'web', limits: {unavailable: 0}}},
	queues: {mail: {owner, service: 'web', repeatable: true}},
	zones: {'zone-a': {owner, region: 'main'}, 'zone-b': {owner, region: 'main'}},
});

type Run = {readonly code: number; readonly out: string; readonly error: string};

async function startSystem(context: TestContext, members: number): Promise<{daemons: Daemon[]; log: string[]; run(...args: string[]): Promise<Run>}> {
	const worker = new WorkerServer();
	await worker.start();
	const platform = await startPlatform(catalogue, [{
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
		daemons, log, async run(...args) {
			const stdout = new PassThrough();
			const stderr = new PassThrough();
			const code = await createCli().run([...args, '--daemon', daemons[0]?.url ?? '', '--key', operatorKey], {stdout, stderr});
			return {code, out: String(stdout.read() ?? ''), error: String(stderr.read() ?? '')};
		},
	};
}

async function submit(daemon: Daemon | undefined, key: string): Promise<number> {
	const response = await request(`${daemon?.url ?? ''}/queues/mail`, {method: 'POST', headers: {authorization: `Bearer ${key}`}, body: 'x'});
	await response.body.dump();
	return response.statusCode;
}

test('gives a key that works at every instance and withdraws it everywhere', async context => {
	const {daemons, log, run} = await startSystem(context, 2);
	const given = await run('keys', 'give', 'main', 'second', '--json');
	assert.equal(given.code, 0, given.error);
	const {key} = JSON.parse(given.out) as {key: string};
	assert.deepEqual([await submit(daemons[0], key), await submit(daemons[1], key)], [200, 200]);
	const withdrawn = await run('keys', 'withdraw', 'main', 'second');
	assert.equal(withdrawn.code, 0, withdrawn.error);
	assert.deepEqual([await submit(daemons[0], key), await submit(daemons[1], key)], [401, 401]);
	const acts = log.filter(line => line.includes('operator-act'));
	assert.equal(acts.length, 2);
	assert.ok(acts.every(line => line.includes('"operator":"ann"') && !line.includes(key)), 'an act names its operator and never holds a key');
});

test('refuses an edit that is based on an older revision, so that no operator overwrites another', async context => {
	const {run} = await startSystem(context, 1);
	const shown = await run('catalogue', 'get', '--json');
	const {revision} = JSON.parse(shown.out) as {revision: number};
	const directory = await mkdtemp(path.join(tmpdir(), 'rosemaryquay-'));
	const file = path.join(directory, 'team.yaml');
	await writeFile(file, stringify({...catalogue.teams.main, share: 2}));
	const first = await run('catalogue', 'edit', 'teams', 'main', '--file', file, '--base', String(revision));
	assert.equal(first.code, 0, first.error);
	await writeFile(file, stringify({...catalogue.teams.main, share: 3}));
	const late = await run('catalogue', 'edit', 'teams', 'main', '--file', file, '--base', String(revision));
	assert.equal(late.code, 3, late.error);
	assert.match(late.error, /last changed by ann/);
});

// Guards against commands that report success, or a code that scripts cannot tell apart.
const refusals: ReadonlyArray<{args: string[]; code: number}> = [
	{args: ['keys', 'give', 'nobody', 'first'], code: 4},
	{args: ['zones', 'withdraw', 'zone-x', '--yes'], code: 4},
	{args: ['catalogue', 'edit', 'pools', 'web', '--delete'], code: 4},
	{args: ['explain', 'unknown'], code: 4},
];

test('answers faulty commands with their exit codes', async context => {
	const {run} = await startSystem(context, 1);
	for (const {args, code} of refusals) {
		const result = await run(...args);
		assert.equal(result.code, code, `${args.join(' ')}: ${result.error}`);
	}

	const withdrawn = await run('zones', 'withdraw', 'zone-b', '--yes');
	assert.match(withdrawn.out, /in force everywhere/);
	const zones = await run('zones', 'list');
	assert.match(zones.out, /zone-b\s+main\s+withdrawn/);
});
