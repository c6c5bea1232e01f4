import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as delay} from 'node:timers/promises';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Entry} from '@rosemaryquay/core/store/transaction';
import {type Logger} from '../create-logger.js';
import {computeClaimDelay} from './compute-claim-delay.js';
import {computeSizeFraction} from './compute-size-fraction.js';
import {followPrefix} from './follow-prefix.js';
import {isHandoverWorthwhile} from './is-handover-worthwhile.js';
import {
	handoverKey, ownerKey, resignationKey, termKey,
} from './keys.js';
import {handoverRequestSchema, type OwnerRecord, ownerRecordSchema} from './owner-record.js';
import {parseStoredValue} from './parse-stored-value.js';
import {type ProcessSettings} from './process-settings.js';

/** A shorter lease fails over sooner; a longer one survives process pauses and slow answers of the store. */
const ownerLeaseTtlMs = 1500;

/** Interval between two lease renewals; leaves room for three failed ones. */
const renewalIntervalMs = 350;

/** The owner stops this long before its lease may expire, so that it sends no order afterwards. */
const leaseExpiryMarginMs = 250;

/** Longest random delay before a vacant ownership is claimed; spreads the claims of all processes. */
const claimJitterMs = 60;

/** Growth of the wall clock relative to the monotonic clock above which the system counts as having been suspended. */
const suspensionThresholdMs = 400;

/** Delay before a failed claim is retried. */
const claimRetryDelayMs = 200;

/** Time without claims after the process has yielded the ownership, so that another process gets it. */
const yieldPauseMs = 2000;

/** Time for which a new owner on a smaller instance is left alone; all instances that restart together are up within some tenths of a second. */
const handoverDelayMs = 300;

/** Longest random addition to this time; the first request is in the store before most others are sent. */
const handoverJitterMs = 300;

/** A won election. The owner is the one process, elected by a lease, that runs the scheduler. */
export type OwnershipGrant = {
	/** Consecutive number of the ownership, from which run numbers are derived. */
	readonly term: number;
	/** Store revision of the claim, sent with each order; increases with each owner. */
	readonly fencingToken: number;
	/** Store revision from which on no former owner has started any task, at the latest that of this claim; undefined if it is not known. */
	readonly vacantSince?: number | undefined;
	/** Local monotonic time in milliseconds from which on no former owner has sent any order; undefined if it is not known. */
	readonly formerOrdersEndedAt?: number | undefined;
};

export type OwnershipListener = {
	/** The process is the owner of the schedule from now on. */
	onGained(grant: OwnershipGrant): void;
	/** The process is no longer the owner and must send no further orders. */
	onLost(reason: string): void;
};

/** Elects the owner of the schedule by a lease in the store: claims the ownership when it is vacant, renews the lease, and reports its loss. */
export class OwnerElection {
	readonly #store: Store;
	readonly #logger: Logger;
	readonly #name: string;
	readonly #size: ProcessSettings['size'];
	readonly #createdAt = performance.now();
	readonly #listener: OwnershipListener;
	readonly #nonce = randomUUID();
	#stopFollowing: (() => void) | undefined;
	#renewalTimer: NodeJS.Timeout | undefined;
	#leaseId: string | undefined;
	#grant: OwnershipGrant | undefined;
	#leaseValidUntil = 0;
	/** True from the scheduling of a claim to its end. */
	#isClaimPending = false;
	#isStopped = false;
	#isYielding = false;
	/**
	 * While true, the schedule is assumed to have an owner and no claim is made. True until the first listing, so that no claim
	 * is made before it; false after this process has lost the ownership, until the store names an owner.
	 */
	#isOwnerAssumed = true;
	/** Local time of the last loss of the ownership. */
	#lostAt = Number.NEGATIVE_INFINITY;
	/** Store revision of the last removal of the owner that was seen; undefined if an owner was seen since, or none has been removed. */
	#vacantSince: number | undefined;
	/** Local time at which that removal was seen. */
	#vacantAt = 0;
	/** Store revision of the last owner that was seen, and that of the last one that resigned. */
	#lastOwnerRevision = 0;
	#resignedRevision = 0;
	/** The owner as the store names it. */
	#owner: Entry | undefined;
	/** Store revision of the last request to hand the schedule over; 0 before the first. */
	#handoverRevision = 0;
	/** Wall clock minus monotonic clock, in milliseconds; grows when the system was suspended, not when only the process was paused. */
	#clockOffset = Date.now() - performance.now();

	constructor(options: {store: Store; logger: Logger; name: string; size: ProcessSettings['size']; listener: OwnershipListener}) {
		this.#store = options.store;
		this.#logger = options.logger;
		this.#name = options.name;
		this.#size = options.size;
		this.#listener = options.listener;
	}

	get grant(): OwnershipGrant | undefined {
		return this.#grant;
	}

	/**
	 * True while the process is certain to own the schedule. Accurate also right after a pause of the process or a suspension of
	 * the system. Reading it after a suspension starts a renewal of the lease.
	 */
	get isOwner(): boolean {
		const offset = Date.now() - performance.now();
		if (offset - this.#clockOffset > suspensionThresholdMs) {
			// The monotonic clock stands still during a suspension, so the lease may have expired in the meantime.
			this.#leaseValidUntil = 0;
			void this.#renew();
		}

		this.#clockOffset = offset;
		return this.#grant !== undefined && performance.now() < this.#leaseValidUntil;
	}

	start(): void {
		this.#stopFollowing = followPrefix(this.#store, ownerKey, {
			onListing: ({entries}) => {
				this.#vacantSince = undefined;
				this.#observeResignation(entries.find(({key}) => key === resignationKey));
				this.#observeOwner(entries.find(({key}) => key === ownerKey));
				this.#observeHandover(entries.find(({key}) => key === handoverKey));
			},
			onChanges: changes => {
				for (const {key, value, modRevision} of changes) {
					const entry = value === undefined ? undefined : {key, value, modRevision};
					switch (key) {
						case ownerKey: {
							this.#vacantSince = entry === undefined ? modRevision : undefined;
							this.#vacantAt = performance.now();
							this.#observeOwner(entry);

							break;
						}

						case resignationKey: {
							this.#observeResignation(entry);

							break;
						}

						case handoverKey: {
							this.#observeHandover(entry);

							break;
						}
					// No default
					}
				}
			},
		});
	}

	/** Gives up the ownership and revokes the lease, so that another process can claim it at once. */
	async resign(): Promise<void> {
		this.#isStopped = true;
		this.#stopFollowing?.();
		const [lease, grant] = [this.#leaseId, this.#grant];
		this.#loseOwnership('resigned');
		if (lease !== undefined && grant !== undefined) {
			await this.#release(lease, grant);
		}
	}

	/** Gives up the ownership, so that another process can claim it at once; this one claims again after a pause. */
	async yield(reason: string): Promise<void> {
		const [lease, grant] = [this.#leaseId, this.#grant];
		if (lease === undefined || grant === undefined || this.#isYielding) {
			return;
		}

		this.#isYielding = true;
		this.#loseOwnership(reason);
		await this.#release(lease, grant);
		setTimeout(() => {
			this.#isYielding = false;
			if (!this.#isOwnerAssumed) {
				this.#scheduleFirstClaim();
			}
		}, yieldPauseMs);
	}

	/** Gives up an ownership that a later owner has superseded; the process stays a candidate. */
	stepDown(reason: string): void {
		this.#loseOwnership(reason);
		this.#scheduleClaim(claimRetryDelayMs);
	}

	/** Removes this process as the owner, so that the next one knows that its orders went on until then. */
	async #release(lease: string, {fencingToken}: OwnershipGrant): Promise<void> {
		const released = await this.#store.transact({
			compare: [{key: ownerKey, modRevision: fencingToken}],
			success: [{type: 'put', key: resignationKey, value: String(fencingToken)}, {type: 'delete', key: ownerKey}],
			failure: [],
		});
		if (!released.ok) {
			// Without this record, the removal counts as the expiry of the lease, before which the owner has been silent for this time.
			await delay(leaseExpiryMarginMs);
		}

		const revoked = await this.#store.revokeLease(lease);
		if (!revoked.ok) {
			this.#logger.log('owner-resignation-failed', {reason: revoked.reason, detail: revoked.detail});
		}
	}

	#observeResignation(entry: Entry | undefined): void {
		this.#resignedRevision = Number(entry?.value ?? 0);
	}

	#observeOwner(owner: Entry | undefined): void {
		this.#isOwnerAssumed = owner !== undefined;
		this.#owner = owner;
		this.#lastOwnerRevision = owner?.modRevision ?? this.#lastOwnerRevision;
		if (owner === undefined) {
			this.#scheduleFirstClaim();
			return;
		}

		if (this.#grant !== undefined && owner.value !== this.#encodeOwner() && owner.modRevision > this.#grant.fencingToken) {
			this.#loseOwnership('Another process owns the schedule');
		}

		if (this.#isHandoverWorthwhile(owner)) {
			setTimeout(() => {
				void this.#requestHandover(owner);
			}, handoverDelayMs + (Math.random() * handoverJitterMs));
		}
	}

	#isHandoverWorthwhile(owner: Entry): boolean {
		const record = parseStoredValue(ownerRecordSchema, owner.value);
		return record !== undefined && this.#grant === undefined && !this.#isStopped && !this.#isYielding
			&& isHandoverWorthwhile({own: computeSizeFraction(this.#size), owner: record.sizeFraction}, {sinceLossMs: performance.now() - this.#lostAt});
	}

	/** Asks the owner to hand the schedule over, unless it has been asked or replaced meanwhile. */
	async #requestHandover(owner: Entry): Promise<void> {
		if (this.#owner?.modRevision !== owner.modRevision || this.#handoverRevision > owner.modRevision || !this.#isHandoverWorthwhile(owner)) {
			return;
		}

		const value = JSON.stringify({instance: this.#name, fencingToken: owner.modRevision});
		// A failed comparison or call is not repeated: another instance has asked, or the store does not serve this one well.
		const requested = await this.#store.transact({
			compare: [{key: ownerKey, modRevision: owner.modRevision}, {key: handoverKey, modRevision: this.#handoverRevision}],
			success: [{type: 'put', key: handoverKey, value}],
			failure: [],
		});
		const outcome = requested.ok ? (requested.value.succeeded ? 'requested' : 'superseded') : requested.reason;
		this.#logger.log('handover-requested', {owner: owner.value, fence: owner.modRevision, outcome});
	}

	#observeHandover(entry: Entry | undefined): void {
		this.#handoverRevision = entry?.modRevision ?? 0;
		const request = entry === undefined ? undefined : parseStoredValue(handoverRequestSchema, entry.value);
		if (request !== undefined && request.fencingToken === this.#grant?.fencingToken) {
			void this.yield(`Handed over to a larger instance: ${request.instance}`);
		}
	}

	#encodeOwner(): string {
		const record: OwnerRecord = {instance: this.#name, nonce: this.#nonce, sizeFraction: computeSizeFraction(this.#size)};
		return JSON.stringify(record);
	}

	#scheduleFirstClaim(): void {
		const delayMs = computeClaimDelay(this.#size, {uptimeMs: performance.now() - this.#createdAt});
		this.#scheduleClaim(delayMs + (Math.random() * claimJitterMs));
	}

	#scheduleClaim(delayMs: number): void {
		if (this.#isClaimPending || this.#isStopped || this.#isYielding || this.#grant !== undefined) {
			return;
		}

		this.#isClaimPending = true;
		setTimeout(() => {
			void this.#attemptClaim();
		}, delayMs);
	}

	async #attemptClaim(): Promise<void> {
		const isRetryNeeded = !this.#isStopped && !this.#isOwnerAssumed && !await this.#claim();
		this.#isClaimPending = false;
		if (isRetryNeeded && !this.#isOwnerAssumed) {
			this.#scheduleClaim(claimRetryDelayMs);
		}
	}

	/** Resolves to true when the election is decided, for this process or another one. */
	async #claim(): Promise<boolean> {
		const terms = await this.#store.list(termKey);
		if (!terms.ok) {
			return false;
		}

		const storedTerm = terms.value.entries.find(({key}) => key === termKey);
		const term = Number(storedTerm?.value ?? 0) + 1;
		// The term is written by each claim, so a later revision shows an owner that was not seen.
		const vacantSince = this.#vacantSince !== undefined && (storedTerm?.modRevision ?? 0) < this.#vacantSince ? this.#vacantSince : undefined;
		const formerOrdersEndedAt = vacantSince === undefined ? undefined : this.#findFormerOrdersEnd();
		const sentAt = performance.now();
		const lease = await this.#store.grantLease(ownerLeaseTtlMs);
		if (!lease.ok) {
			return false;
		}

		const claimed = await this.#store.transact({
			compare: [{key: ownerKey, modRevision: 0}, {key: termKey, modRevision: storedTerm?.modRevision ?? 0}],
			success: [
				{
					type: 'put', key: ownerKey, value: this.#encodeOwner(), leaseId: lease.value,
				},
				{type: 'put', key: termKey, value: String(term)},
			],
			failure: [{type: 'get', key: ownerKey}],
		});
		if (!claimed.ok) {
			return this.#confirmClaim({
				lease: lease.value, sentAt, grant: {term, vacantSince, formerOrdersEndedAt},
			});
		}

		if (!claimed.value.succeeded) {
			this.#isOwnerAssumed = claimed.value.entries[0] !== undefined;
			await this.#store.revokeLease(lease.value);
			return this.#isOwnerAssumed;
		}

		this.#becomeOwner({
			lease: lease.value, sentAt, grant: {
				term, fencingToken: claimed.value.revision, vacantSince, formerOrdersEndedAt,
			},
		});
		return true;
	}

	/** An owner whose lease has expired has sent no order for some time before. */
	#findFormerOrdersEnd(): number {
		return this.#resignedRevision === this.#lastOwnerRevision ? this.#vacantAt : this.#vacantAt - leaseExpiryMarginMs;
	}

	/** Reads from the store whether a claim whose answer was lost took effect. */
	async #confirmClaim(claim: {lease: string; sentAt: number; grant: Omit<OwnershipGrant, 'fencingToken'>}): Promise<boolean> {
		const listing = await this.#store.list(ownerKey);
		const owner = listing.ok ? listing.value.entries.find(({key}) => key === ownerKey) : undefined;
		if (owner?.value === this.#encodeOwner() && owner.leaseId === claim.lease) {
			this.#becomeOwner({...claim, grant: {...claim.grant, fencingToken: owner.modRevision}});
			return true;
		}

		// Once the lease is revoked, a claim that is still in flight fails.
		await this.#store.revokeLease(claim.lease);
		return false;
	}

	#becomeOwner(claim: {lease: string; sentAt: number; grant: OwnershipGrant}): void {
		const {lease, sentAt, grant} = claim;
		if (this.#isStopped) {
			void this.#release(lease, grant);
			return;
		}

		this.#leaseId = lease;
		this.#grant = grant;
		this.#isOwnerAssumed = true;
		this.#leaseValidUntil = sentAt + ownerLeaseTtlMs - leaseExpiryMarginMs;
		this.#clockOffset = Date.now() - performance.now();
		this.#renewalTimer = setInterval(() => {
			void this.#renew();
		}, renewalIntervalMs);
		this.#listener.onGained(grant);
	}

	async #renew(): Promise<void> {
		const lease = this.#leaseId;
		if (lease === undefined) {
			return;
		}

		const sentAt = performance.now();
		const sentAtWallMs = Date.now();
		const renewed = await this.#store.renewLease(lease);
		if (lease !== this.#leaseId) {
			return;
		}

		if (renewed.ok) {
			// A suspension uses up the lease although the monotonic clock does not show it.
			const suspendedMs = Math.max(0, Date.now() - sentAtWallMs - (performance.now() - sentAt));
			this.#leaseValidUntil = Math.max(this.#leaseValidUntil, sentAt - suspendedMs + ownerLeaseTtlMs - leaseExpiryMarginMs);
			return;
		}

		if (renewed.reason === 'lease-lost') {
			this.#loseOwnership('The lease has ended');
			this.#scheduleClaim(claimRetryDelayMs);
		}
	}

	#loseOwnership(reason: string): void {
		if (this.#grant === undefined) {
			return;
		}

		clearInterval(this.#renewalTimer);
		this.#grant = undefined;
		this.#leaseId = undefined;
		this.#leaseValidUntil = 0;
		this.#isOwnerAssumed = false;
		this.#lostAt = performance.now();
		this.#listener.onLost(reason);
	}
}
