/**
 * Leases and watches of the pump's in-memory store on virtual time.
 */
import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type WatchUpdate} from '@rosemaryquay/core/node/event';
import {type Pump} from './pump.js';

export class StoreDriver {
	readonly #pump: Pump;
	#watches: Array<{readonly nodeId: string; readonly end: () => void}> = [];
	#wasDown = false;

	constructor(pump: Pump) {
		this.#pump = pump;
	}

	/** Runs a call about a lease; leases do not run out while the store is down. */
	callLease(nodeId: string, effect: EffectOf<'store-lease'>): void {
		const {purpose, id, operation, leaseId, ttlMs} = effect;
		const calls = {
			grant: () => ({leaseId: this.#pump.store.grantLease(ttlMs, this.#pump.now), ttlMs}),
			renew: () => ({leaseId, ttlMs: this.#pump.store.renewLease(leaseId, this.#pump.now)}),
			revoke: () => {
				this.#pump.store.revokeLease(leaseId);
				return {leaseId, ttlMs: 0};
			},
		};
		this.#pump.callStore(nodeId, calls[operation], outcome => ({
			type: 'store-leased',
			purpose,
			id,
			operation,
			outcome: outcome.ok && operation === 'renew' && outcome.value.ttlMs === 0 ? {ok: false, reason: 'lease-lost'} : outcome,
		}));
	}

	/** Follows changes of the store; an outage ends the watch. */
	watch(nodeId: string, effect: Pick<EffectOf<'store-watch'>, 'purpose' | 'id' | 'prefix' | 'fromRevision'>): void {
		const {purpose, id, prefix, fromRevision} = effect;
		const node = this.#pump.nodes.get(nodeId);
		// A watch is one connection, so that its reports keep their order.
		let deliverAt = 0;
		const report = (value: WatchUpdate): void => {
			deliverAt = Math.max(deliverAt, this.#pump.now + this.#pump.networkDelay());
			this.#pump.at(deliverAt, () => {
				if (this.#pump.nodes.get(nodeId) === node) {
					this.#pump.deliver(nodeId, {
						type: 'store-watched', purpose, id, update: value,
					});
				}
			});
		};

		this.#pump.storeCalls += 1;
		if (!this.#pump.reachesStore(nodeId)) {
			report({type: 'ended'});
			return;
		}

		if (this.#pump.store.revision < fromRevision - 1) {
			report({type: 'restored'});
			return;
		}

		const stop = this.#pump.store.watch(prefix, fromRevision, (changes, revision) => {
			if (this.#pump.reachesStore(nodeId)) {
				report({type: 'changed', changes, revision});
			}
		});
		if (stop === undefined) {
			report({type: 'compacted'});
			return;
		}

		this.#watches.push({
			nodeId, end() {
				stop();
				report({type: 'ended'});
			},
		});
	}

	/** Ends the watches of nodes, as a broken connection does. */
	endWatches(isEnded: (nodeId: string) => boolean): void {
		for (const watch of this.#watches) {
			if (isEnded(watch.nodeId)) {
				watch.end();
			}
		}

		this.#watches = this.#watches.filter(watch => !isEnded(watch.nodeId));
	}

	/** Ends watches when the store goes down, gives leases their full time when it returns, and lets them run out while it is up. */
	update(): void {
		const down = this.#pump.storeCondition.down === true;
		if (down && !this.#wasDown) {
			this.endWatches(() => true);
		} else if (!down && this.#wasDown) {
			this.#pump.store.restartLeases(this.#pump.now);
		}

		this.#wasDown = down;
		if (!down) {
			this.#pump.store.expireLeases(this.#pump.now);
		}
	}
}
