import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPlanner} from '@rosemaryquay/core/maintenance/create-planner';
import {createPlan} from '@rosemaryquay/core/maintenance/create-plan';
import {type PlannerEvent} from '@rosemaryquay/core/maintenance/planner';
import {reducePlanner} from '@rosemaryquay/core/maintenance/reduce-planner';
import {EtcdStore} from '@rosemaryquay/platform/etcd-store';
import {performPlannerEffect, type PlannerHost} from '@rosemaryquay/platform/perform-planner-effect';
import {HttpInstanceActions} from '@rosemaryquay/platform/instance-actions';
import {PoolsServer} from './pools-server.js';
import {StoreServer} from './store-server.js';

// Guards against effects whose fields are lost when they are encoded for the store or the platform, and against lost answers.
test('a planner rolls out a plan over the HTTP protocols of the store and the platform', async () => {
	const storeServer = new StoreServer();
	const poolsServer = new PoolsServer();
	for (const number of [1, 2, 3]) {
		poolsServer.model.add({
			id: `web-${number}`, zone: 'z', rack: 'r', pool: 'web',
		});
	}

	await storeServer.start();
	await poolsServer.start();
	const store = new EtcdStore({url: storeServer.url});
	const actions = new HttpInstanceActions({url: poolsServer.url});
	const planner = createPlanner({id: 'p-1', prefix: 'rq/', settings: {pollIntervalMs: 1000}});
	const rules = new Map([['web', {services: ['web'], maximumUnavailable: 1, peakHours: []}]]);
	let at = 0;
	let pending: Array<Promise<void>> = [];
	const dispatch = (event: PlannerEvent): void => {
		pending.push(...reducePlanner(planner, event).map(async effect => performPlannerEffect(host, effect)));
	};

	const host: PlannerHost = {
		store, actions, now: () => at, dispatch, report() {
			// Reports are not under test.
		},
	};
	const settle = async (): Promise<void> => {
		while (pending.length > 0) {
			const batch = pending;
			pending = [];
			await Promise.all(batch);
		}
	};

	try {
		dispatch({
			type: 'rules-loaded', at, pools: rules, withdrawn: new Set(),
		});
		for (let step = 0; step < 60; step++) {
			at += 1000;
			if (step === 5) {
				const records = new Map([...planner.instances].map(([id, {value}]) => [id, value]));
				const {plan} = createPlan(records, {
					id: 'plan', utcMs: at, pools: rules, sparePools: [], weights: {buffer: 1, rollOutTime: 1, moves: 1}, stepMs: 1000,
				});
				storeServer.model.put('rq/fleet/plan', JSON.stringify(plan));
				dispatch({type: 'records-changed', at, changes: [{key: 'rq/fleet/plan', value: JSON.stringify(plan), modRevision: storeServer.model.revision}]});
			}

			storeServer.faults.loseAnswers = step === 8 ? 1 : 0;
			poolsServer.faults.loseAnswers = step === 12 ? 1 : 0;
			dispatch({type: 'instances-listed', at, instances: poolsServer.model.list(at)});
			dispatch({type: 'tick', at, utcMs: at});
			await settle();
		}

		assert.deepEqual(poolsServer.model.effects, {
			drain: 3, undrain: 3, reboot: 3, move: 0,
		});
		assert.ok([...planner.instances.values()].every(({value}) => value.state === 'in-service' && value.maintainedAt > 5000));
		assert.equal(storeServer.model.entries.get('rq/fleet/budgets/web')?.value, '{"spent":{}}');
	} finally {
		await store.close();
		await actions.close();
		await storeServer.stop();
		await poolsServer.stop();
	}
});
