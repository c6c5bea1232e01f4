import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {type Logger} from '../create-logger.js';
import {followPrefix} from './follow-prefix.js';
import {ownerKey, termKey} from './keys.js';

/** Lease on the ownership; shorter leases change hands sooner, longer ones outlast pauses and slow answers of the store. */
const ownershipTtlMs = 1500;

/** Interval between two renewals; leaves room for three that fail. */
const renewalIntervalMs = 350;

/** The owner stops this long before its lease may end, so that no order leaves afterwards. */
const expiryMarginMs = 250;

/** Longest random pause before a free ownership is claimed; spreads the claims of all processes. */
const claimSpreadMs = 60;

/** Difference between the time of day and the steady clock that shows that the process was suspended. */
const suspensionMs = 400;

/** Pause before a failed claim is repeated. */
const claimRetryMs = 200;

export type Mandate = {
	/** Rises by one with each owner. */
	readonly term: number;
	/** Store revision of the claim; rises with each owner. */
	readonly fence: number;
};

export type Candidate = {
	/** The process owns the schedule from now on. */
	onGained(mandate: Mandate): void;
	/** The process owns it no longer and gives no further orders. */
	onLost(reason: string): void;
};

/** Claims the ownership of the schedule, renews it, and tells when it is lost. */
export class Ownership {
	readonly #store: Store;
	readonly #logger: Logger;
	readonly #name: string;
	readonly #candidate: Candidate;
	readonly #nonce = randomUUID();
	#stopFollowing: (() => void) | undefined;
	#timer: NodeJS.Timeout | undefined;
	#lease: string | undefined;
	#mandate: Mandate | undefined;
	#validUntil = 0;
	#isClaiming = false;
	#isStopped = false;
	#isOwned = true;
	#clockOffset = Date.now() - performance.now();

	constructor(options: {store: Store; logger: Logger; name: string; candidate: Candidate}) {
		this.#store = options.store;
		this.#logger = options.logger;
		this.#name = options.name;
		this.#candidate = options.candidate;
	}

	get mandate(): Mandate | undefined {
		return this.#mandate;
	}

	/** Tells whether the process certainly owns the schedule at this moment, also after a pause of the process. */
	get isValid(): boolean {
		const offset = Date.now() - performance.now();
		if (offset - this.#clockOffset > suspensionMs) {
			// The steady clock stands still during a suspension, so that the lease may have ended meanwhile.
			this.#validUntil = 0;
			void this.#renew();
		}

		this.#clockOffset = offset;
		return this.#mandate !== undefined && performance.now() < this.#validUntil;
	}

	start(): void {
		this.#stopFollowing = followPrefix(this.#store, ownerKey, {
			onListing: ({entries}) => {
				this.#observe(entries.find(({key}) => key === ownerKey));
			},
			onChanges: changes => {
				for (const {key, value, modRevision} of changes) {
					if (key === ownerKey) {
						this.#observe(value === undefined ? undefined : {key, value, modRevision});
					}
				}
			},
		});
	}

	/** Gives the ownership up, so that another process may claim it at once. */
	async resign(): Promise<void> {
		this.#isStopped = true;
		this.#stopFollowing?.();
		const lease = this.#lease;
		this.#lose('resigned');
		if (lease !== undefined) {
			const ended = await this.#store.revokeLease(lease);
			if (!ended.ok) {
				this.#logger.log('owner-resignation-failed', {reason: ended.reason, detail: ended.detail});
			}
		}
	}

	/** Gives up a mandate that a later owner has overtaken. */
	stepDown(reason: string): void {
		this.#lose(reason);
		this.#claimSoon(claimRetryMs);
	}

	#observe(owner: Entry | undefined): void {
		this.#isOwned = owner !== undefined;
		if (owner === undefined) {
			this.#claimSoon(Math.random() * claimSpreadMs);
		} else if (this.#mandate !== undefined && owner.value !== this.#describe() && owner.modRevision > this.#mandate.fence) {
			this.#lose('Another process owns the schedule');
		}
	}

	#describe(): string {
		return JSON.stringify({instance: this.#name, nonce: this.#nonce});
	}

	#claimSoon(delayMs: number): void {
		if (this.#isClaiming || this.#isStopped || this.#mandate !== undefined) {
			return;
		}

		this.#isClaiming = true;
		setTimeout(() => {
			void this.#claimOnce();
		}, delayMs);
	}

	async #claimOnce(): Promise<void> {
		const isRetryNeeded = !this.#isStopped && !this.#isOwned && !await this.#claim();
		this.#isClaiming = false;
		if (isRetryNeeded && !this.#isOwned) {
			this.#claimSoon(claimRetryMs);
		}
	}

	/** Returns true when the claim is decided, for this process or another one. */
	async #claim(): Promise<boolean> {
		const terms = await this.#store.list(termKey);
		if (!terms.ok) {
			return false;
		}

		const known = terms.value.entries.find(({key}) => key === termKey);
		const term = Number(known?.value ?? 0) + 1;
		const sentAt = performance.now();
		const lease = await this.#store.grantLease(ownershipTtlMs);
		if (!lease.ok) {
			return false;
		}

		const claimed = await this.#store.transact({
			compare: [{key: ownerKey, modRevision: 0}, {key: termKey, modRevision: known?.modRevision ?? 0}],
			success: [
				{
					type: 'put', key: ownerKey, value: this.#describe(), leaseId: lease.value,
				},
				{type: 'put', key: termKey, value: String(term)},
			],
			failure: [{type: 'get', key: ownerKey}],
		});
		if (!claimed.ok) {
			return this.#confirmClaim({lease: lease.value, term, sentAt});
		}

		if (!claimed.value.succeeded) {
			this.#isOwned = claimed.value.entries[0] !== undefined;
			await this.#store.revokeLease(lease.value);
			return this.#isOwned;
		}

		this.#gain({lease: lease.value, sentAt, mandate: {term, fence: claimed.value.revision}});
		return true;
	}

	/** The answer to a claim was lost: the store shows whether it took effect. */
	async #confirmClaim(claim: {lease: string; term: number; sentAt: number}): Promise<boolean> {
		const shown = await this.#store.list(ownerKey);
		const owner = shown.ok ? shown.value.entries.find(({key}) => key === ownerKey) : undefined;
		if (owner?.value === this.#describe() && owner.leaseId === claim.lease) {
			this.#gain({lease: claim.lease, sentAt: claim.sentAt, mandate: {term: claim.term, fence: owner.modRevision}});
			return true;
		}

		// A claim that is still under way finds no lease once it is revoked.
		await this.#store.revokeLease(claim.lease);
		return false;
	}

	#gain(claim: {lease: string; sentAt: number; mandate: Mandate}): void {
		const {lease, sentAt, mandate} = claim;
		if (this.#isStopped) {
			void this.#store.revokeLease(lease);
			return;
		}

		this.#lease = lease;
		this.#mandate = mandate;
		this.#isOwned = true;
		this.#validUntil = sentAt + ownershipTtlMs - expiryMarginMs;
		this.#clockOffset = Date.now() - performance.now();
		this.#timer = setInterval(() => {
			void this.#renew();
		}, renewalIntervalMs);
		this.#candidate.onGained(mandate);
	}

	async #renew(): Promise<void> {
		const lease = this.#lease;
		if (lease === undefined) {
			return;
		}

		const sentAt = performance.now();
		const wallAt = Date.now();
		const renewed = await this.#store.renewLease(lease);
		if (lease !== this.#lease) {
			return;
		}

		if (renewed.ok) {
			// Time that passed while the process was suspended counts for the lease, though not on the steady clock.
			const suspendedMs = Math.max(0, Date.now() - wallAt - (performance.now() - sentAt));
			this.#validUntil = Math.max(this.#validUntil, sentAt - suspendedMs + ownershipTtlMs - expiryMarginMs);
			return;
		}

		if (renewed.reason === 'lease-lost') {
			this.#lose('The lease has ended');
			this.#claimSoon(claimRetryMs);
		}
	}

	#lose(reason: string): void {
		if (this.#mandate === undefined) {
			return;
		}

		clearInterval(this.#timer);
		this.#mandate = undefined;
		this.#lease = undefined;
		this.#validUntil = 0;
		this.#isOwned = false;
		this.#candidate.onLost(reason);
	}
}
