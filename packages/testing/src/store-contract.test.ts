import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EtcdStore} from '@rosemaryquay/platform/etcd-store';
import {type Store, type WatchEvent} from '@rosemaryquay/core/store/store';
import {type Transaction} from '@rosemaryquay/core/store/transaction';
import {StoreServer} from './store-server.js';

type Subject = {readonly store: Store; readonly server: StoreServer};

/** Implementations of the store interface; each must pass all cases. */
const implementations: Readonly<Record<string, () => Promise<Subject>>> = {
	async 'etcd gateway'() {
		const server = new StoreServer();
		await server.start();
		return {server, store: new EtcdStore({url: server.url, timeoutMs: 500})};
	},
};

function put(key: string, value: string, modRevision?: number): Transaction {
	return {
		compare: modRevision === undefined ? [] : [{key, modRevision}], success: [{type: 'put', key, value}], failure: [{type: 'get', key}],
	};
}

async function collect(store: Store, fromRevision: number, count: number): Promise<WatchEvent[]> {
	return new Promise(resolve => {
		const events: WatchEvent[] = [];
		const stop = store.watch('k/', fromRevision, event => {
			events.push(event);
			if (events.length >= count || event.type !== 'changed') {
				stop();
				resolve(events);
			}
		});
	});
}

// Guards against calls whose effect is reported incorrectly, and against changes that a watch misses without reporting it.
const cases: Readonly<Record<string, (subject: Subject) => Promise<void>>> = {
	async 'compares and swaps'({store}) {
		const first = await store.transact(put('k/a', '1', 0));
		assert.ok(first.ok && first.value.succeeded);
		const second = await store.transact(put('k/a', '2', 0));
		assert.ok(second.ok && !second.value.succeeded);
		assert.equal(second.value.entries[0]?.value, '1');
	},
	async 'compares values after a restored store has reused revisions'({store, server}) {
		const backup = server.model.snapshot();
		server.model.put('k/a', 'before');
		const {modRevision = 0} = server.model.entries.get('k/a') ?? {};
		server.restore(backup);
		server.model.put('k/a', 'after');
		assert.equal(server.model.entries.get('k/a')?.modRevision, modRevision);
		const outcome = await store.transact({compare: [{key: 'k/a', modRevision, value: 'before'}], success: [{type: 'delete', key: 'k/a'}], failure: []});
		assert.ok(outcome.ok && !outcome.value.succeeded);
		const second = await store.transact({compare: [{key: 'k/a', modRevision, value: 'after'}], success: [{type: 'delete', key: 'k/a'}], failure: []});
		assert.ok(second.ok && second.value.succeeded);
	},
	async 'reports that a call did not reach a closed store'({store, server}) {
		await server.stop();
		const outcome = await store.transact(put('k/a', '1'));
		assert.ok(!outcome.ok);
		assert.equal(outcome.reason, 'unavailable');
	},
	async 'reports an unknown outcome when the answer is lost'({store, server}) {
		server.faults.loseAnswers = 1;
		const outcome = await store.transact(put('k/a', '1'));
		assert.ok(!outcome.ok);
		assert.equal(outcome.reason, 'outcome-unknown');
		assert.equal(server.model.entries.get('k/a')?.value, '1');
	},
	async 'reports an unknown outcome when the store is slow'({store, server}) {
		server.faults.delayMs = 700;
		const outcome = await store.list('k/');
		assert.ok(!outcome.ok);
		assert.equal(outcome.reason, 'outcome-unknown');
	},
	async 'rejects the second effect of a duplicated call'({store, server}) {
		server.faults.duplicateCalls = 1;
		const outcome = await store.transact(put('k/a', '1', 0));
		assert.ok(outcome.ok && !outcome.value.succeeded);
		assert.equal(outcome.value.entries[0]?.value, '1');
	},
	async 'lets one of two reordered calls succeed'({store, server}) {
		server.faults.reorderCalls = 1;
		const [first, second] = await Promise.all([store.transact(put('k/a', '1', 0)), store.transact(put('k/a', '2', 0))]);
		assert.ok(first.ok && second.ok);
		assert.equal([first, second].filter(outcome => outcome.value.succeeded).length, 1);
	},
	async 'follows changes from a revision on'({store, server}) {
		server.model.put('k/a', '1');
		const from = server.model.revision + 1;
		server.model.put('k/b', '2');
		const [event] = await collect(store, from, 1);
		assert.ok(event?.type === 'changed');
		assert.deepEqual(event.changes.map(change => change.key), ['k/b']);
	},
	async 'reports a watch from a compacted revision'({store, server}) {
		server.model.put('k/a', '1');
		server.model.compact(server.model.revision);
		const events = await collect(store, 1, 1);
		assert.deepEqual(events.map(event => event.type), ['compacted']);
	},
	async 'reports a watch on a store restored from an older state'({store, server}) {
		const backup = server.model.snapshot();
		server.model.put('k/a', '1');
		server.model.put('k/a', '2');
		const from = server.model.revision + 1;
		server.restore(backup);
		const events = await collect(store, from, 1);
		assert.deepEqual(events.map(event => event.type), ['restored']);
	},
	async 'reports the end of a watch when the store goes down'({store, server}) {
		const ended = collect(store, server.model.revision + 1, 2);
		server.model.put('k/a', '1');
		const other = collect(store, server.model.revision, 1);
		await other;
		server.setDown(true);
		const events = await ended;
		assert.equal(events.at(-1)?.type, 'ended');
	},
	async 'removes keys with their lease and reports the lease as lost'({store, server}) {
		const lease = await store.grantLease(5000);
		assert.ok(lease.ok);
		await store.transact({
			compare: [], success: [{
				type: 'put', key: 'k/a', value: '1', leaseId: lease.value,
			}], failure: [],
		});
		const renewed = await store.renewLease(lease.value);
		assert.ok(renewed.ok);
		server.model.expireLeases(Number.POSITIVE_INFINITY);
		const late = await store.renewLease(lease.value);
		assert.ok(!late.ok);
		assert.equal(late.reason, 'lease-lost');
		assert.equal(server.model.entries.has('k/a'), false);
	},
	async 'gives leases their full time after an outage'({store, server}) {
		const lease = await store.grantLease(5000);
		assert.ok(lease.ok);
		server.setDown(true);
		server.setDown(false);
		server.model.expireLeases(performance.now() + 4900);
		assert.ok(server.model.hasLease(lease.value));
	},
};

for (const [implementation, create] of Object.entries(implementations)) {
	for (const [name, run] of Object.entries(cases)) {
		test(`${implementation} ${name}`, async context => {
			const subject = await create();
			context.after(async () => {
				await subject.store.close();
				await subject.server.stop();
			});
			await run(subject);
		});
	}
}
