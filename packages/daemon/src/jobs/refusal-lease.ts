import {performance} from 'node:perf_hooks';
import {type Store} from '@rosemaryquay/core/store/store';
import {type StoreOutcome} from '@rosemaryquay/core/store/transaction';

/** Time for which the mark of a refusal is kept at most; many times longer than a call to the store that is carried out late. */
const leaseTtlMs = 60_000;

/** Time for which one lease is used. Each mark is kept for the rest of its time to live at least. */
const leaseUseMs = 30_000;

/** Store lease that deletes the marks of refused submissions after some time. It is granted at the first refusal and is not renewed. */
export class RefusalLease {
	readonly #store: Store;
	#grant: Promise<StoreOutcome<string>> | undefined;
	#grantedAt = Number.NEGATIVE_INFINITY;

	constructor(options: {store: Store}) {
		this.#store = options.store;
	}

	/** Identifier of the lease, which is granted if necessary. */
	async get(): Promise<StoreOutcome<string>> {
		if (this.#grant === undefined || performance.now() - this.#grantedAt > leaseUseMs) {
			this.#grantedAt = performance.now();
			this.#grant = this.#store.grantLease(leaseTtlMs);
		}

		const grant = this.#grant;
		const outcome = await grant;
		if (!outcome.ok && this.#grant === grant) {
			this.#grant = undefined;
		}

		return outcome;
	}

	/** Drops the lease after the store rejected it. */
	drop(): void {
		this.#grant = undefined;
	}
}
