/**
 * Pump for experiments on the catalogue, the membership and the freshness rule: it can cut nodes
 * off, strip revisions from peer messages, serve stale listings, and counts store calls and bytes.
 */
import {Buffer} from 'node:buffer';
import {type Listing} from '@rosemaryquay/core/store/transaction';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {type User} from './load-user.js';
import {Pump} from './pump.js';
import {type CallOutcome, type UntimedEvent, type WorkerModel} from './pump-types.js';

export const prefix = 'rosemaryquay/';
const millisecondsPerSecond = 1000;

export class ControlPump extends Pump {
	/** Nodes that reach neither the store nor peers. */
	readonly cutOff = new Set<string>();
	/** Nodes that reach peers but not the store. */
	readonly cutOffStore = new Set<string>();
	/** Without it every peer message shows revision 0, as before revisions were carried. */
	carryRevisions = true;
	/** Whether the answers of the store count as bytes of a node. */
	countStoreBytes = false;
	/** Probability that a listing shows the store as it was at the last call of `rememberListings`. */
	staleReads = 0;
	readonly readsBySecond = new Map<number, number>();
	readonly writesBySecond = new Map<number, number>();
	readonly readsByNode = new Map<string, number>();
	readonly bytesByNode = new Map<string, number>();
	readonly messagesByNode = new Map<string, number>();
	summaryBytes = 0;
	summaries = 0;
	readonly #oldListings = new Map<string, Listing>();

	override reachesStore(nodeId: string): boolean {
		return super.reachesStore(nodeId) && !this.cutOff.has(nodeId) && !this.cutOffStore.has(nodeId);
	}

	override send(nodeId: string, event: UntimedEvent): void {
		if (event.type !== 'peer-received') {
			super.send(nodeId, event);
			return;
		}

		const bytes = Buffer.byteLength(JSON.stringify(event.message));
		this.#countBytes(event.from, bytes);
		this.messagesByNode.set(event.from, (this.messagesByNode.get(event.from) ?? 0) + 1);
		if (event.message.type === 'summary') {
			this.summaries += 1;
			this.summaryBytes += bytes;
		}

		if (this.cutOff.has(event.from) || this.cutOff.has(nodeId)) {
			return;
		}

		this.#countBytes(nodeId, bytes);
		super.send(nodeId, this.carryRevisions ? event : {...event, message: {...event.message, revision: 0}});
	}

	override callStore<Value>(nodeId: string, call: () => Value, toEvent: (outcome: CallOutcome<Value>) => UntimedEvent): void {
		const isRead = toEvent({ok: false, reason: 'unavailable'}).type === 'store-listed';
		const counts = isRead ? this.readsBySecond : this.writesBySecond;
		const second = Math.floor(this.now / millisecondsPerSecond);
		counts.set(second, (counts.get(second) ?? 0) + 1);
		if (isRead) {
			this.readsByNode.set(nodeId, (this.readsByNode.get(nodeId) ?? 0) + 1);
		}

		super.callStore(nodeId, () => this.#readStale(call()), outcome => {
			if (outcome.ok && this.countStoreBytes) {
				this.#countBytes(nodeId, Buffer.byteLength(JSON.stringify(outcome.value) ?? ''));
			}

			return toEvent(outcome);
		});
	}

	/** Keeps the store's present state for stale listings. */
	rememberListings(): void {
		this.#oldListings.clear();
		for (const name of [`${prefix}catalogue/`, `${prefix}catalogue/head`, `${prefix}members/`]) {
			const listing = this.store.list(name);
			this.#oldListings.set(JSON.stringify(listing.entries.map(entry => entry.key)), listing);
		}
	}

	/** Cuts nodes off from the store, or from everything; open watches break. */
	cut(nodeIds: readonly string[], set: Set<string>): void {
		for (const id of nodeIds) {
			set.add(id);
		}

		this.storeDriver.endWatches(id => nodeIds.includes(id));
	}

	/** Adds a node and starts its process. */
	startNode(id: string, user: User, options: {zone: string; seed: number}): void {
		this.addNode(createNode({id, ...options}));
		this.deliver(id, {type: 'instances-listed', instances: user.instances});
		this.deliver(id, {
			type: 'process-started', address: `127.0.0.1:1/${id}`, incarnation: Math.floor(this.now), prefix,
		});
	}

	#readStale<Value>(value: Value): Value {
		const listing = value as {entries?: ReadonlyArray<{key: string} | undefined>};
		if (!this.chance(this.staleReads) || listing.entries === undefined) {
			return value;
		}

		const old = this.#oldListings.get(JSON.stringify(listing.entries.map(entry => entry?.key)));
		return old === undefined ? value : old as Value;
	}

	#countBytes(nodeId: string, bytes: number): void {
		this.bytesByNode.set(nodeId, (this.bytesByNode.get(nodeId) ?? 0) + bytes);
	}
}

/** Time after which the entries of a new store are adopted and every member knows the others. */
export const settledMs = 6000;

/**
 * Starts the entry instances of a user on a store that the operators have filled with its own tools.
 *
 * @param user - catalogue and fleet
 * @param options - seed, number of instances, and how workers behave
 * @returns the pump at `settledMs`
 * @example
 * const pump = startControl(user, {seed: 1});
 */
export function startControl(user: User, options: {seed: number; instances?: number; worker?: WorkerModel; drop?: number}): ControlPump {
	const {
		seed, instances = 8, worker = {slots: 8, serviceTimeMs: () => 20}, drop = 0,
	} = options;
	const pump = new ControlPump({
		nodes: [], seed, worker, delivery: {drop},
	});
	for (const [section, entries] of Object.entries(user.catalogue)) {
		for (const [name, value] of Object.entries(entries)) {
			pump.store.put(`${prefix}catalogue/sections/${section}/${name}`, JSON.stringify(value));
		}
	}

	for (let index = 0; index < instances; index++) {
		pump.startNode(`entry-${index}`, user, {zone: user.fleet.zones[index % user.fleet.zones.length] ?? '', seed: (seed * 1000) + index});
	}

	pump.run(settledMs);
	return pump;
}

/** Revision that a node has in force. */
export function revisionOf(pump: Pump, nodeId: string): number {
	return pump.nodes.get(nodeId)?.snapshot.revision ?? 0;
}
