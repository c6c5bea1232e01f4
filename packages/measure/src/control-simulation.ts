/**
 * Simulation for experiments on catalogue replication, membership and configuration freshness. It can
 * isolate nodes, strip revisions from peer messages and return stale listings, and it counts store calls and bytes.
 */
import {Buffer} from 'node:buffer';
import {type Listing} from '@rosemaryquay/core/store/transaction';
import {createNode} from '@rosemaryquay/core/node/create-node';
import {type User} from './load-user.js';
import {Simulation} from './simulation.js';
import {type CallOutcome, type UntimedEvent, type WorkerModel} from './simulation-types.js';

export const prefix = 'rosemaryquay/';
const millisecondsPerSecond = 1000;

export class ControlSimulation extends Simulation {
	/** Nodes that can reach neither the store nor their peers. */
	readonly isolated = new Set<string>();
	/** Nodes whose store calls fail as unavailable; they still reach their peers. */
	readonly isolatedFromStore = new Set<string>();
	/** When false, every peer message carries revision 0, as in versions whose messages had no revision. */
	carryRevisions = true;
	/** Whether responses of the store count towards `bytesByNode`. */
	countStoreBytes = false;
	/** Probability that a listing returns the state captured by the last call of `captureListings`. */
	staleReadProbability = 0;
	readonly readsBySecond = new Map<number, number>();
	readonly writesBySecond = new Map<number, number>();
	readonly readsByNode = new Map<string, number>();
	readonly bytesByNode = new Map<string, number>();
	readonly messagesByNode = new Map<string, number>();
	summaryBytes = 0;
	summaries = 0;
	readonly #capturedListings = new Map<string, Listing>();

	override reachesStore(nodeId: string): boolean {
		return super.reachesStore(nodeId) && !this.isolated.has(nodeId) && !this.isolatedFromStore.has(nodeId);
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

		if (this.isolated.has(event.from) || this.isolated.has(nodeId)) {
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

		super.callStore(nodeId, () => this.#replaceWithStaleListing(call()), outcome => {
			if (outcome.ok && this.countStoreBytes) {
				this.#countBytes(nodeId, Buffer.byteLength(JSON.stringify(outcome.value) ?? ''));
			}

			return toEvent(outcome);
		});
	}

	/** Captures the present listings of the catalogue and the members, to be returned as stale reads. */
	captureListings(): void {
		this.#capturedListings.clear();
		for (const name of [`${prefix}catalogue/`, `${prefix}catalogue/head`, `${prefix}members/`]) {
			const listing = this.store.list(name);
			this.#capturedListings.set(JSON.stringify(listing.entries.map(entry => entry.key)), listing);
		}
	}

	/** Adds nodes to `isolated` or `isolatedFromStore` and ends their open watches. */
	isolate(nodeIds: readonly string[], set: Set<string>): void {
		for (const id of nodeIds) {
			set.add(id);
		}

		this.storeDriver.endWatches(id => nodeIds.includes(id));
	}

	/** Adds a node, delivers its instance list and reports its process as started. */
	startNode(id: string, user: User, options: {zone: string; seed: number}): void {
		this.addNode(createNode({id, ...options}));
		this.deliver(id, {type: 'instances-listed', instances: user.instances});
		this.deliver(id, {
			type: 'process-started', address: `127.0.0.1:1/${id}`, incarnation: Math.floor(this.now), prefix,
		});
	}

	#replaceWithStaleListing<Value>(value: Value): Value {
		const listing = value as {entries?: ReadonlyArray<{key: string} | undefined>};
		if (!this.chance(this.staleReadProbability) || listing.entries === undefined) {
			return value;
		}

		const old = this.#capturedListings.get(JSON.stringify(listing.entries.map(entry => entry?.key)));
		return old === undefined ? value : old as Value;
	}

	#countBytes(nodeId: string, bytes: number): void {
		this.bytesByNode.set(nodeId, (this.bytesByNode.get(nodeId) ?? 0) + bytes);
	}
}

/** Time within which a new system has adopted the entries of the store and every member knows the others. */
export const convergenceMs = 6000;

/**
 * Starts the entry instances of a user on a store whose catalogue entries were written directly, not by an operator's edit.
 *
 * @param user - catalogue and fleet
 * @param options - seed, number of entry instances, behaviour of workers, and probability that a message is dropped
 * @returns the simulation, at the time `convergenceMs`
 * @example
 * const simulation = startControlSimulation(user, {seed: 1});
 */
export function startControlSimulation(user: User, options: {seed: number; instances?: number; worker?: WorkerModel; dropProbability?: number}): ControlSimulation {
	const {
		seed, instances = 8, worker = {slots: 8, serviceTimeMs: () => 20}, dropProbability = 0,
	} = options;
	const simulation = new ControlSimulation({
		nodes: [], seed, worker, delivery: {dropProbability},
	});
	for (const [section, entries] of Object.entries(user.catalogue)) {
		for (const [name, value] of Object.entries(entries)) {
			simulation.store.put(`${prefix}catalogue/sections/${section}/${name}`, JSON.stringify(value));
		}
	}

	for (let index = 0; index < instances; index++) {
		simulation.startNode(`entry-${index}`, user, {zone: user.fleet.zones[index % user.fleet.zones.length] ?? '', seed: (seed * 1000) + index});
	}

	simulation.run(convergenceMs);
	return simulation;
}

/** Returns the catalogue revision that is in force at a node, or 0 if the node does not exist. */
export function findRevisionInForce(simulation: Simulation, nodeId: string): number {
	return simulation.nodes.get(nodeId)?.snapshot.revision ?? 0;
}
