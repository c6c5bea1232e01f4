import assert from 'node:assert/strict';
import {mkdtemp} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {PoolsServer} from '@rosemaryquay/testing/pools-server';
import {startOperatorSystem} from './start-operator-system.js';

// Guards against a daemon that accepts an operator's plan but never executes it.
test('executes a plan in the daemon after the operator has applied it', async context => {
	const pools = new PoolsServer();
	await pools.start();
	context.after(async () => pools.stop());
	const instances: ListedInstance[] = [1, 2, 3].map(number => ({
		id: `w-${number}`, address: 'http://127.0.0.1:1', zone: 'zone-a', rack: `r-${number}`, pool: 'web', state: 'live',
	}));
	for (const {id, zone, rack, pool} of instances) {
		pools.model.add({
			id, zone, rack, pool,
		});
	}

	const {run, store} = await startOperatorSystem(context, {members: 2, instances, settings: {maintenance: {poolActions: {url: pools.url}, drainMs: 0}}});
	const recorded = (): number => store.model.list('rosemaryquay/fleet/instances/').entries.length;
	for (let tries = 0; tries < 400 && recorded() < 3; tries++) {
		await new Promise(resolve => {
			setTimeout(resolve, 25);
		});
	}

	assert.equal(recorded(), 3, 'one planner holds the lease and records the fleet');
	const file = path.join(await mkdtemp(path.join(tmpdir(), 'rosemaryquay-')), 'plan.json');
	const planned = await run('plan', '--out', file);
	assert.equal(planned.code, 0, planned.error + planned.out);
	const applied = await run('apply', file, '--yes');
	assert.equal(applied.code, 0, applied.error + applied.out);
	const state = (): string => store.model.list('rosemaryquay/fleet/instances/').entries.map(entry => entry.value).join('');
	for (let tries = 0; tries < 400 && !/"state":"(?:draining|rebooting|drained)"/.test(state()); tries++) {
		await new Promise(resolve => {
			setTimeout(resolve, 25);
		});
	}

	assert.match(state(), /"state":"(?:draining|rebooting|drained)"/);
	const out = store.model.list('rosemaryquay/fleet/instances/').entries.filter(entry => !entry.value.includes('"in-service"'));
	assert.equal(out.length, 1, 'exactly one instance is out of service, as its budget allows');
});
