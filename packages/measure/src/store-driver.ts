/**
 * Leases and watches of the simulation's in-memory store, on virtual time.
 */
import {type EffectOf} from '@rosemaryquay/core/node/effect';
import {type WatchUpdate} from '@rosemaryquay/core/node/event';
import {type Simulation} from './simulation.js';

export class StoreDriver {
	readonly #simulation: Simulation;
	#watches: Array<{readonly nodeId: string; readonly end: () => void}> = [];
	#wasDown = false;

	constructor(simulation: Simulation) {
		this.#simulation = simulation;
	}

	/** Grants, renews or revokes a lease; a renewal of an expired lease is answered with `lease-lost`. */
	callLease(nodeId: string, effect: EffectOf<'store-lease'>): void {
		const {purpose, id, operation, leaseId, ttlMs} = effect;
		const calls = {
			grant: () => ({leaseId: this.#simulation.store.grantLease(ttlMs, this.#simulation.now), ttlMs}),
			renew: () => ({leaseId, ttlMs: this.#simulation.store.renewLease(leaseId, this.#simulation.now)}),
			revoke: () => {
				this.#simulation.store.revokeLease(leaseId);
				return {leaseId, ttlMs: 0};
			},
		};
		this.#simulation.callStore(nodeId, calls[operation], outcome => ({
			type: 'store-leased',
			purpose,
			id,
			operation,
			outcome: outcome.ok && operation === 'renew' && outcome.value.ttlMs === 0 ? {ok: false, reason: 'lease-lost'} : outcome,
		}));
	}

	/** Opens a watch, which an outage of the store ends. */
	watch(nodeId: string, effect: Pick<EffectOf<'store-watch'>, 'purpose' | 'id' | 'prefix' | 'fromRevision'>): void {
		const {purpose, id, prefix, fromRevision} = effect;
		const node = this.#simulation.nodes.get(nodeId);
		// A watch uses one connection, so its reports arrive in order.
		let deliverAt = 0;
		const update = (value: WatchUpdate): void => {
			deliverAt = Math.max(deliverAt, this.#simulation.now + this.#simulation.drawNetworkDelayMs());
			this.#simulation.at(deliverAt, () => {
				if (this.#simulation.nodes.get(nodeId) === node) {
					this.#simulation.deliver(nodeId, {
						type: 'store-watched', purpose, id, update: value,
					});
				}
			});
		};

		this.#simulation.storeCalls += 1;
		if (!this.#simulation.reachesStore(nodeId)) {
			update({type: 'ended'});
			return;
		}

		if (this.#simulation.store.revision < fromRevision - 1) {
			update({type: 'restored'});
			return;
		}

		const stop = this.#simulation.store.watch(prefix, fromRevision, (changes, revision) => {
			if (this.#simulation.reachesStore(nodeId)) {
				update({type: 'changed', changes, revision});
			}
		});
		if (stop === undefined) {
			update({type: 'compacted'});
			return;
		}

		this.#watches.push({
			nodeId, end() {
				stop();
				update({type: 'ended'});
			},
		});
	}

	/** Ends the watches of some nodes, as a broken connection does. */
	endWatches(isEnded: (nodeId: string) => boolean): void {
		for (const watch of this.#watches) {
			if (isEnded(watch.nodeId)) {
				watch.end();
			}
		}

		this.#watches = this.#watches.filter(watch => !isEnded(watch.nodeId));
	}

	/** Ends all watches when the store goes down, restarts the leases with their full TTL when it returns, and expires them only while it is up. */
	update(): void {
		const down = this.#simulation.storeCondition.down === true;
		if (down && !this.#wasDown) {
			this.endWatches(() => true);
		} else if (!down && this.#wasDown) {
			this.#simulation.store.restartLeases(this.#simulation.now);
		}

		this.#wasDown = down;
		if (!down) {
			this.#simulation.store.expireLeases(this.#simulation.now);
		}
	}
}
