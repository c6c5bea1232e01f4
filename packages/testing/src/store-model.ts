/**
 * In-memory model of the key-value store: compare-and-swap, leases, watches and compaction.
 * Callers pass the time, so that the model works under the HTTP stand-in and in experiments on virtual time.
 */
import {
	type Change, type Comparison, type Entry, type Listing, type Operation, type Transaction, type TransactionResult,
} from '@rosemaryquay/core/store/transaction';

type Lease = {readonly id: string; readonly ttlMs: number; expiresAt: number; readonly keys: Set<string>};

type Subscription = {readonly prefix: string; readonly listener: (changes: readonly Change[], revision: number) => void};

/** Copy of the state at one revision, for `restore`. */
export type Backup = {readonly revision: number; readonly entries: readonly Entry[]};

export class StoreModel {
	revision = 1;
	compactedRevision = 0;
	readonly entries = new Map<string, Entry>();
	readonly #history: Change[] = [];
	readonly #leases = new Map<string, Lease>();
	readonly #subscriptions = new Set<Subscription>();
	#nextLease = 1;

	list(prefix: string): Listing {
		const entries = [...this.entries.values()].filter(entry => entry.key.startsWith(prefix));
		entries.sort((a, b) => (a.key < b.key ? -1 : 1));
		return {revision: this.revision, entries};
	}

	/** Applies a transaction; a comparison without `modRevision` compares by value alone, as the JSON gateway allows. */
	transact(transaction: Omit<Transaction, 'compare'> & {readonly compare: ReadonlyArray<Partial<Comparison> & {readonly key: string}>}): TransactionResult {
		const succeeded = transaction.compare.every(({key, modRevision, value}) => {
			const entry = this.entries.get(key);
			return (modRevision === undefined || (entry?.modRevision ?? 0) === modRevision) && (value === undefined || entry?.value === value);
		});
		const operations = succeeded ? transaction.success : transaction.failure;
		const changes: Change[] = [];
		const entries: Array<Entry | undefined> = [];
		const revision = this.revision + 1;
		for (const operation of operations) {
			if (operation.type === 'get') {
				entries.push(this.entries.get(operation.key));
				continue;
			}

			const change = this.#write(operation, revision);
			if (change !== undefined) {
				changes.push(change);
			}
		}

		if (changes.length > 0) {
			this.revision = revision;
			this.#publish(changes);
		}

		return {succeeded, revision: this.revision, entries};
	}

	put(key: string, value: string): void {
		this.transact({compare: [], success: [{type: 'put', key, value}], failure: []});
	}

	grantLease(ttlMs: number, now: number): string {
		const id = String(this.#nextLease);
		this.#nextLease += 1;
		this.#leases.set(id, {
			id, ttlMs, expiresAt: now + ttlMs, keys: new Set(),
		});
		return id;
	}

	/** Renews a lease and returns its time to live in milliseconds, or 0 if it has lapsed. */
	renewLease(id: string, now: number): number {
		this.expireLeases(now);
		const lease = this.#leases.get(id);
		if (lease === undefined) {
			return 0;
		}

		lease.expiresAt = now + lease.ttlMs;
		return lease.ttlMs;
	}

	revokeLease(id: string): void {
		const lease = this.#leases.get(id);
		this.#leases.delete(id);
		if (lease !== undefined && lease.keys.size > 0) {
			this.transact({compare: [], success: [...lease.keys].map(key => ({type: 'delete', key})), failure: []});
		}
	}

	hasLease(id: string): boolean {
		return this.#leases.has(id);
	}

	/** Resets every lease to its full time to live, as the store does when it returns from an outage. */
	extendLeases(now: number): void {
		for (const lease of this.#leases.values()) {
			lease.expiresAt = now + lease.ttlMs;
		}
	}

	expireLeases(now: number): void {
		for (const lease of this.#leases.values()) {
			if (lease.expiresAt <= now) {
				this.revokeLease(lease.id);
			}
		}
	}

	/** Does the same as `extendLeases`. */
	restartLeases(now: number): void {
		for (const lease of this.#leases.values()) {
			lease.expiresAt = now + lease.ttlMs;
		}
	}

	/** Copies the state for `restore`. */
	snapshot(): Backup {
		return {revision: this.revision, entries: [...this.entries.values()]};
	}

	/** Replaces the state by a backup: revisions continue from that of the backup, and watches end without notice. Leases are kept. */
	restore(backup: Backup): void {
		this.revision = backup.revision;
		this.entries.clear();
		for (const entry of backup.entries) {
			this.entries.set(entry.key, entry);
		}

		this.#history.length = 0;
		this.compactedRevision = backup.revision;
		this.#subscriptions.clear();
	}

	compact(revision: number): void {
		this.compactedRevision = revision;
		while (this.#history.length > 0 && (this.#history[0]?.modRevision ?? 0) <= revision) {
			this.#history.shift();
		}
	}

	/** Replays the changes since `fromRevision`, then delivers new ones; returns a function that ends the watch, or `undefined` if the changes have been compacted. */
	watch(prefix: string, fromRevision: number, listener: Subscription['listener']): (() => void) | undefined {
		if (fromRevision <= this.compactedRevision) {
			return undefined;
		}

		const missed = this.#history.filter(change => change.modRevision >= fromRevision && change.key.startsWith(prefix));
		if (missed.length > 0) {
			listener(missed, this.revision);
		}

		const subscription = {prefix, listener};
		this.#subscriptions.add(subscription);
		return () => {
			this.#subscriptions.delete(subscription);
		};
	}

	#write(operation: Exclude<Operation, {type: 'get'}>, modRevision: number): Change | undefined {
		const {key} = operation;
		const previous = this.entries.get(key);
		if (previous?.leaseId !== undefined) {
			this.#leases.get(previous.leaseId)?.keys.delete(key);
		}

		if (operation.type === 'delete') {
			this.entries.delete(key);
			return previous === undefined ? undefined : {key, modRevision};
		}

		const {value, leaseId} = operation;
		this.entries.set(key, {
			key, value, modRevision, ...(leaseId !== undefined && {leaseId}),
		});
		if (leaseId !== undefined) {
			this.#leases.get(leaseId)?.keys.add(key);
		}

		return {key, value, modRevision};
	}

	#publish(changes: readonly Change[]): void {
		this.#history.push(...changes);
		for (const {prefix, listener} of this.#subscriptions) {
			const matching = changes.filter(change => change.key.startsWith(prefix));
			if (matching.length > 0) {
				listener(matching, this.revision);
			}
		}
	}
}
