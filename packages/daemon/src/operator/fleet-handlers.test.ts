import assert from 'node:assert/strict';
import {test} from 'node:test';
import {parseCatalogue} from '@rosemaryquay/core/catalogue/parse-catalogue';
import {planRecordSchema} from '@rosemaryquay/core/maintenance/records';
import {EtcdStore} from '@rosemaryquay/platform/etcd-store';
import {StoreServer} from '@rosemaryquay/testing/store-server';
import {applyPlan} from './apply-plan.js';
import {type FleetContext} from './fleet-context.js';
import {changePlanStatus} from './change-plan-status.js';
import {requestInstanceStep} from './request-instance-step.js';
import {createFleetPlan} from './create-fleet-plan.js';
import {readFleetStatus} from './read-fleet-status.js';

const owner = 'operations';
const parsed = parseCatalogue({
	pools: {web: {owner}, db: {owner}},
	services: {web: {owner, pool: 'web', limits: {unavailable: 1}}, db: {owner, pool: 'db', limits: {unavailable: 1}}},
});
const record = JSON.stringify({
	pool: 'web', zone: 'z', rack: 'r', state: 'in-service', generation: 0, maintainedAt: 0,
});

async function withFleet(run: (context: FleetContext, server: StoreServer) => Promise<void>): Promise<void> {
	assert.ok(parsed.ok);
	const server = new StoreServer();
	await server.start();
	server.model.put('rq/fleet/instances/web-1', record);
	const store = new EtcdStore({url: server.url});
	try {
		await run({
			store, prefix: 'rq/', catalogue: parsed.catalogue, utcMs: 1000, weights: {buffer: 1, rollOutTime: 1, moves: 1}, stepMs: 60_000,
		}, server);
	} finally {
		await store.close();
		await server.stop();
	}
}

test('applies a reviewed plan only once: concurrent operators get a conflict', async () => {
	await withFleet(async (context, server) => {
		const {body} = await createFleetPlan(context, {params: {}, body: {}});
		const plan = planRecordSchema.parse(body.plan);
		const apply = {params: {}, body: {plan, revision: body.revision}};
		const dryRun = await applyPlan(context, {params: {}, body: {...apply.body, dryRun: true}});
		assert.equal(dryRun.body.dryRun, true);
		assert.equal(server.model.entries.has('rq/fleet/plan'), false);
		const responses = await Promise.all([applyPlan(context, apply), applyPlan(context, apply)]);
		assert.deepEqual(new Set(responses.map(({status}) => status)), new Set([200, 409]));
	});
});

test('reads back a pause whose answer was lost', async () => {
	await withFleet(async (context, server) => {
		const {body} = await createFleetPlan(context, {params: {}, body: {}});
		const {body: applied} = await applyPlan(context, {params: {}, body: {plan: body.plan, revision: body.revision}});
		const {store} = context;
		const transact = store.transact.bind(store);
		// Only the write has a comparison, so its answer is lost and that of the read-back is not.
		store.transact = async transaction => {
			server.faults.loseAnswers = transaction.compare.length;
			return transact(transaction);
		};

		const response = await changePlanStatus(context, {params: {command: 'pause'}, body: {revision: applied.revision}});
		assert.equal(response.status, 200);
		const status = await readFleetStatus(context, {params: {}, body: undefined});
		assert.equal((status.body.plan as {status: string}).status, 'paused');
	});
});

// Guards against commands on a revision that the operator has not seen, and against invalid commands.
const refusals: ReadonlyArray<{name: string; instance?: string; action?: string; body: unknown; expected: string}> = [
	{name: 'revision other than the current one', body: {revision: 1}, expected: 'conflict'},
	{
		name: 'unknown instance', instance: 'none', body: {revision: 2}, expected: 'instance-unknown',
	},
	{
		name: 'unknown action', action: 'halt', body: {revision: 2}, expected: 'body-malformed',
	},
	{name: 'no body', body: undefined, expected: 'body-malformed'},
	{
		name: 'move without a target', action: 'move', body: {revision: 2}, expected: 'body-malformed',
	},
	{
		name: 'move to an unknown pool', action: 'move', body: {revision: 2, target: 'none'}, expected: 'pool-unknown',
	},
	{
		name: 'return of an instance in service', action: 'return', body: {revision: 2}, expected: 'step-under-way',
	},
];

for (const {
	name, instance = 'web-1', action = 'drain', body, expected,
} of refusals) {
	test(`refuses a step: ${name}`, async () => {
		await withFleet(async (context, server) => {
			const response = await requestInstanceStep(context, {params: {instance, action}, body});
			assert.equal(response.body.reason, expected);
			assert.equal(server.model.entries.get('rq/fleet/instances/web-1')?.value, record);
		});
	});
}

test('answers a step with 503 and `not run` while the store is unreachable', async () => {
	await withFleet(async (context, server) => {
		server.setDown(true);
		const response = await requestInstanceStep(context, {params: {instance: 'web-1', action: 'drain'}, body: {revision: 2}});
		assert.deepEqual([response.status, response.body.execution], [503, 'not run']);
	});
});
