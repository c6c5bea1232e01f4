import assert from 'node:assert/strict';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {request} from 'undici';
import {stringify} from 'yaml';
import {type Daemon} from '@rosemaryquay/daemon/daemon';
import {catalogue, startOperatorSystem} from './start-operator-system.js';

async function submit(daemon: Daemon | undefined, key: string): Promise<number> {
	const response = await request(`${daemon?.url ?? ''}/queues/mail`, {method: 'POST', headers: {authorization: `Bearer ${key}`}, body: 'x'});
	await response.body.dump();
	return response.statusCode;
}

test('issues a key that every instance accepts and revokes it at every instance', async context => {
	const {daemons, log, run} = await startOperatorSystem(context, {members: 2});
	const given = await run('keys', 'give', 'main', 'second', '--json');
	assert.equal(given.code, 0, given.error);
	const {key} = JSON.parse(given.out) as {key: string};
	assert.deepEqual([await submit(daemons[0], key), await submit(daemons[1], key)], [200, 200]);
	const withdrawn = await run('keys', 'withdraw', 'main', 'second');
	assert.equal(withdrawn.code, 0, withdrawn.error);
	assert.deepEqual([await submit(daemons[0], key), await submit(daemons[1], key)], [401, 401]);
	const acts = log.filter(line => line.includes('operator-act'));
	assert.equal(acts.length, 2);
	assert.ok(acts.every(line => line.includes('"operator":"ann"') && !line.includes(key)), 'an audit entry names its operator and contains no key');
});

test('refuses an edit based on an outdated revision, so that no operator overwrites another\'s change', async context => {
	const {run} = await startOperatorSystem(context, {members: 1});
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

// Guards against commands that fail with exit code 0 or with a code that scripts cannot distinguish from other failures.
const refusals: ReadonlyArray<{args: string[]; code: number}> = [
	{args: ['keys', 'give', 'nobody', 'first'], code: 4},
	{args: ['zones', 'withdraw', 'zone-x', '--yes'], code: 4},
	{args: ['catalogue', 'edit', 'pools', 'web', '--delete'], code: 4},
	{args: ['explain', 'unknown'], code: 4},
];

test('exits with code 4 for each refused command', async context => {
	const {run} = await startOperatorSystem(context, {members: 1});
	for (const {args, code} of refusals) {
		const result = await run(...args);
		assert.equal(result.code, code, `${args.join(' ')}: ${result.error}`);
	}

	const withdrawn = await run('zones', 'withdraw', 'zone-b', '--yes');
	assert.match(withdrawn.out, /in force everywhere/);
	const zones = await run('zones', 'list');
	assert.match(zones.out, /zone-b\s+main\s+withdrawn/);
});
