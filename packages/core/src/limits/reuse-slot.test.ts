import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSnapshot} from '../catalogue/create-snapshot.js';
import {createNode} from '../node/create-node.js';
import {type Effect} from '../node/effect.js';
import {type Event} from '../node/event.js';
import {reduce} from '../node/reduce.js';
import {createCatalogue} from './cluster.test.js';

// Guards against a slot that stays unused until the next tick because its task ended in another pool.
test('gives a released slot to a waiting task of another pool', () => {
	const {pools, services, queues, ...rest} = createCatalogue(1);
	const catalogue = {
		...rest,
		pools: {...pools, bulk: pools.web!},
		services: {...services, bulk: {...services.web!, pool: 'bulk'}},
		queues: {...queues, reports: {...queues.mail!, service: 'bulk'}},
	};
	const node = createNode({id: 'entry-1', zone: 'zone-a'});
	const starts: Array<Effect & {type: 'start-attempt'}> = [];
	const apply = (event: Event): void => {
		for (const effect of reduce(node, event)) {
			if (effect.type === 'start-attempt') {
				starts.push(effect);
			} else if (effect.type === 'store-transact') {
				const entries = effect.transaction.success.filter(operation => operation.type === 'get').map(() => undefined);
				apply({
					type: 'store-transacted', at: 0, purpose: 'portion', id: effect.id, outcome: {ok: true, value: {succeeded: true, revision: Number(effect.id) + 1, entries}},
				});
			}
		}
	};

	apply({type: 'catalogue-loaded', at: 0, snapshot: createSnapshot(catalogue, 1)});
	apply({type: 'configuration-confirmed', at: 0});
	apply({type: 'members-observed', at: 0, lease: {registration: 'l-1', validUntil: 6000}});
	apply({
		type: 'instances-listed', at: 0, instances: ['web', 'bulk'].map(pool => ({
			id: pool, address: 'http://127.0.0.1:1', zone: 'zone-a', rack: 'r-1', pool, state: 'live',
		})),
	});
	for (const queue of ['mail', 'reports']) {
		apply({
			type: 'request-arrived', at: 0, arrival: {
				id: queue, queue, keyHash: 'a'.repeat(64), bodyBytes: 0,
			},
		});
	}

	assert.deepEqual(starts.map(start => start.workerId), ['web']);
	apply({
		type: 'attempt-finished', at: 1, attemptId: starts[0]?.attemptId ?? '', outcome: {type: 'succeeded'},
	});
	assert.deepEqual(starts.map(start => start.workerId), ['web', 'bulk']);
});
