import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {PassThrough} from 'node:stream';
import {test} from 'node:test';
import {readBody} from '@rosemaryquay/testing/read-body';
import {startServer} from '@rosemaryquay/testing/start-server';
import {createCli} from './create-cli.js';

type Case = {readonly name: string; readonly args: readonly string[]; readonly status?: number; readonly expected: string; readonly exitCode?: number};

// Guards against a command that interrupts work without --yes, or that does not send the revision given with --revision, by
// default the one that it reads first: the daemon could then not detect that the plan or the instance has changed since.
const cases: readonly Case[] = [
	{name: 'drain without --yes is a dry run', args: ['drain', 'web-1'], expected: 'POST /operator/fleet/instances/web-1/drain {"revision":7,"dryRun":true}'},
	{name: 'drain with --yes', args: ['drain', 'web-1', '--yes', '--revision', '5'], expected: 'POST /operator/fleet/instances/web-1/drain {"revision":5,"dryRun":false}'},
	{name: 'drain with --undo returns the instance', args: ['drain', 'web-1', '--yes', '--undo'], expected: 'POST /operator/fleet/instances/web-1/return {"revision":7,"dryRun":false}'},
	{name: 'move', args: ['move', 'web-1', 'db', '--yes'], expected: 'POST /operator/fleet/instances/web-1/move {"revision":7,"dryRun":false,"target":"db"}'},
	{name: 'pause', args: ['pause'], expected: 'POST /operator/fleet/plan/pause {"revision":7,"dryRun":false}'},
	{name: 'abort without --yes is a dry run', args: ['abort'], expected: 'POST /operator/fleet/plan/abort {"revision":7,"dryRun":true}'},
	{name: 'status', args: ['status'], expected: 'GET /operator/fleet/status '},
	{
		name: 'conflict at an outdated revision', args: ['pause', '--revision', '3'], status: 409, expected: 'POST /operator/fleet/plan/pause {"revision":3,"dryRun":false}', exitCode: 1,
	},
];

for (const {
	name, args, status = 200, expected, exitCode = 0,
} of cases) {
	test(`maintenance command: ${name}`, async () => {
		const requests: string[] = [];
		const authorizationHeaders = new Set<string | undefined>();
		const server = await startServer((request, response) => {
			void (async () => {
				requests.push(`${request.method} ${request.url} ${Buffer.from(await readBody(request)).toString()}`);
				authorizationHeaders.add(request.headers.authorization);
				response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify({revision: 7, pools: {}, outOfService: {}}));
			})();
		});
		const context = {stdout: new PassThrough(), stderr: new PassThrough(), stdin: new PassThrough()};
		try {
			const actualExitCode = await createCli().run([...args, '--json', '--daemon', server.url, '--key', 'k'], context);
			assert.equal(actualExitCode, exitCode, String(context.stdout.read()));
			assert.equal(requests.at(-1), expected);
			assert.deepEqual([...authorizationHeaders], ['Bearer k']);
		} finally {
			await server.close();
		}
	});
}
