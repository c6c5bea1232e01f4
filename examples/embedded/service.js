/**
 * A plain Node.js service that embeds the coordination parts: admission, upper limits, fair shares and
 * retries for work that it does itself. It is a single process without a store or a daemon.
 */
import {createServer} from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {createSnapshot} from '@rosemaryquay/core/catalogue/create-snapshot';
import {parseCatalogue} from '@rosemaryquay/core/catalogue/parse-catalogue';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {reduce} from '@rosemaryquay/core/node/reduce';
import {refusals} from '@rosemaryquay/core/refusal';

const owner = 'example';
const confirmIntervalMs = 500;
const parsed = parseCatalogue({
	organisations: {main: {owner}},
	teams: {
		gold: {
			owner, organisation: 'main', share: 3, limits: {running: 4},
		},
		free: {
			owner, organisation: 'main', share: 1, limits: {running: 2},
		},
	},
	pools: {local: {owner, limits: {slotsPerInstance: 4}}},
	services: {images: {owner, pool: 'local', limits: {unavailable: 0}}},
	queues: {
		thumbnails: {
			owner, service: 'images', open: true, team: 'gold', repeatable: true,
		},
		previews: {
			owner, service: 'images', open: true, team: 'free', repeatable: true,
		},
	},
	zones: {local: {owner, region: 'local'}},
});
if (!parsed.ok) {
	throw new Error(JSON.stringify(parsed.problems));
}

// No other process shares the upper limits, so no store is needed to divide them into portions.
const node = createNode({id: 'service', zone: 'local', soleHolder: true});
const pendingResponses = new Map();
let nextRequest = 1;

async function runAttempt(attemptId) {
	await delay(20);
	dispatch({type: 'attempt-finished', attemptId, outcome: {type: 'succeeded'}});
}

/** Handlers by type of effect; the service ignores effects without a handler. */
const effectHandlers = {
	async 'start-attempt'({attemptId}) {
		await runAttempt(attemptId);
	},
	answer({taskId}) {
		pendingResponses.get(taskId)?.writeHead(200).end('done\n');
		pendingResponses.delete(taskId);
	},
	refuse({taskId, refusal}) {
		pendingResponses.get(taskId)?.writeHead(refusals[refusal.reason].status).end(`${refusal.reason}, ${refusal.execution}\n`);
		pendingResponses.delete(taskId);
	},
};

function dispatch(event) {
	for (const effect of reduce(node, {...event, at: performance.now()})) {
		effectHandlers[effect.type]?.(effect);
	}
}

dispatch({type: 'catalogue-loaded', snapshot: createSnapshot(parsed.catalogue, 1)});
dispatch({
	type: 'instances-listed', instances: [{
		id: 'local-1', address: 'http://127.0.0.1', zone: 'local', rack: 'local', pool: 'local', state: 'live',
	}],
});
dispatch({type: 'configuration-confirmed'});
const confirm = setInterval(() => {
	// The configuration is part of the program, so it is always up to date.
	dispatch({type: 'configuration-confirmed'});
}, confirmIntervalMs);
const tick = setInterval(() => {
	dispatch({type: 'tick'});
}, 100);

const server = createServer((request, response) => {
	const id = `r-${nextRequest}`;
	nextRequest += 1;
	pendingResponses.set(id, response);
	dispatch({type: 'request-arrived', arrival: {id, queue: request.url.slice(1), bodyBytes: 0}});
});
await new Promise(resolve => {
	server.listen(0, '127.0.0.1', resolve);
});

const url = `http://127.0.0.1:${server.address().port}`;
const queues = ['thumbnails', 'previews', 'thumbnails', 'previews', 'previews', 'unknown'];
const results = await Promise.all(queues.map(async queue => {
	const response = await fetch(`${url}/${queue}`, {method: 'POST'});
	return `${queue}: ${response.status} ${await response.text()}`;
}));
process.stdout.write(results.join(''));
clearInterval(confirm);
clearInterval(tick);
server.close();
const succeeded = results.filter(result => result.includes(': 200 '));
process.exitCode = succeeded.length === 5 && results.at(-1)?.includes('queue-unknown, not run') ? 0 : 1;
