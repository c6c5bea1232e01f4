/**
 * State and clients that the effect handlers share: pending requests, active attempts, and the clients of the workers and the store.
 */
import {type ServerResponse} from 'node:http';
import {type EditResult} from '@rosemaryquay/core/catalogue/catalogue-state';
import {type Message} from '@rosemaryquay/core/membership/message';
import {type MemberAddress} from '@rosemaryquay/core/node/effect';
import {type Event} from '@rosemaryquay/core/node/event';
import {type Store} from '@rosemaryquay/core/store/store';
import {type Metrics} from './create-metrics.js';
import {type Logger} from './create-logger.js';
import {type WorkerResponse, type WorkerClient} from './worker-client.js';

/** A caller's request that has not been answered yet. */
export type PendingRequest = {
	readonly response: ServerResponse;
	readonly body: Uint8Array;
	readonly contentType: string;
};

/** An attempt that a worker has not answered yet. */
export type ActiveAttempt = {
	readonly address: string;
	/** Aborts the HTTP request; set when the request is being sent. */
	abort?: () => void;
	cancelled: boolean;
};

export type EffectContext = {
	/** A graceful shutdown has begun: the readiness check fails, and connections close after their next response. */
	draining: boolean;
	/** By request identifier, which the reducer also uses as the task identifier. */
	readonly pendingRequests: Map<string, PendingRequest>;
	/** By attempt identifier. */
	readonly activeAttempts: Map<string, ActiveAttempt>;
	/** Responses of finished attempts, by attempt, until the reducer has handled `attempt-finished`. */
	readonly workerResponses: Map<string, WorkerResponse>;
	/** Functions that stop the active store watches, by purpose and identifier. */
	readonly activeWatches: Map<string, () => void>;
	/** Lease revocations in progress; a shutdown waits for them. */
	readonly pendingRevocations: Set<Promise<unknown>>;
	readonly workers: WorkerClient;
	readonly store: Store;
	/** Prefix of the system's keys in the store. */
	readonly prefix: string;
	readonly metrics: Metrics;
	readonly logger: Logger;
	/** Passes an event to the reducer and performs the resulting effects. */
	dispatch(event: Event): void;
	/** Current time in milliseconds on the monotonic clock of the process. */
	now(): number;
	/** Sends a message to another member; it is dropped when there is no connection. */
	sendToPeer(to: string, message: Message): void;
	/** Sets the members to stay connected to; connections to all others are closed. */
	setPeers(peers: readonly MemberAddress[]): void;
	/** Passes the result of an edit to the operator request that waits for it. */
	resolveEdit(editRequestId: string, result: EditResult): void;
	/** Ends the wait of a graceful shutdown: all tasks have ended, and the reducer has settled their claims and returned its limit portions. */
	notifyReducerIdle(): void;
};
