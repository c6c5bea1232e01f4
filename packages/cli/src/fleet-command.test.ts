import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {readBody} from '@rosemaryquay/testing/read-body';
import {startServer} from '@rosemaryquay/testing/start-server';
import {createCli} from './create-cli.js';

type Case = {readonly name: string; readonly args: readonly string[]; readonly status?: number; readonly expected: string; readonly exitCode?: number};

// Guards against a command that interrupts work without --yes, or that ignores the revision that was seen.
const cases: readonly Case[] = [
	{name: 'drain is a dry run', args: ['drain', 'web-1'], expected: 'POST /operator/fleet/instances/web-1/drain {"revision":7,"dryRun":true}'},
	{name: 'drain with --yes', args: ['drain', 'web-1', '--yes', '--revision', '5'], expected: 'POST /operator/fleet/instances/web-1/drain {"revision":5,"dryRun":false}'},
	{name: 'undo of a drain', args: ['drain', 'web-1', '--yes', '--undo'], expected: 'POST /operator/fleet/instances/web-1/return {"revision":7,"dryRun":false}'},
	{name: 'move', args: ['move', 'web-1', 'db', '--yes'], expected: 'POST /operator/fleet/instances/web-1/move {"revision":7,"dryRun":false,"target":"db"}'},
	{name: 'pause', args: ['pause'], expected: 'POST /operator/fleet/plan/pause {"revision":7,"dryRun":false}'},
	{name: 'abort is a dry run', args: ['abort'], expected: 'POST /operator/fleet/plan/abort {"revision":7,"dryRun":true}'},
	{name: 'status', args: ['status'], expected: 'GET /operator/fleet/status '},
	{
		name: 'conflict', args: ['pause', '--revision', '3'], status: 409, expected: 'POST /operator/fleet/plan/pause {"revision":3,"dryRun":false}', exitCode: 1,
	},
];

for (const {
	name, args, status = 200, expected, exitCode = 0,
} of cases) {
	test(`fleet command: ${name}`, async () => {
		const calls: string[] = [];
		const keys = new Set<string | undefined>();
		const server = await startServer((request, response) => {
			void (async () => {
				calls.push(`${request.method} ${request.url} ${Buffer.from(await readBody(request)).toString()}`);
				keys.add(request.headers.authorization);
				response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify({revision: 7, pools: {}, outOfService: {}}));
			})();
		});
		const context = {stdout: new PassThrough(), stderr: new PassThrough(), stdin: new PassThrough()};
		try {
			const code = await createCli().run([...args, '--json', '--daemon', server.url, '--key', 'k'], context);
			assert.equal(code, exitCode, String(context.stdout.read()));
			assert.equal(calls.at(-1), expected);
			assert.deepEqual([...keys], ['Bearer k']);
		} finally {
			await server.close();
		}
	});
}
