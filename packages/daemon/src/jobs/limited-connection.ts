import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {Duplex} from 'node:stream';

/**
 * Most bytes that are parsed at once, but for those of a body. A single read of the socket holds thousands of small requests, and all of them
 * would be parsed, whatever is done about the first ones.
 */
const sliceBytes = 512;

type Chunk = {readonly chunk: Uint8Array; readonly encoding: BufferEncoding};

type Callback = Parameters<Duplex['_final']>[0];

type Options = {
	/** Most requests without a complete answer while further ones are read. */
	readonly maximumOpenRequests: number;
	/** Called whenever the number of open requests falls. */
	readonly onAnswered?: (connection: LimitedConnection) => void;
	/** Called with the change of `waitingBytes`. */
	readonly onWaiting?: (bytes: number) => void;
};

/**
 * A caller's connection that is read only while few of its requests are open. An answer counts as open until the socket
 * has taken it, so a caller that does not read its answers is not read either. Between two slices of its input other
 * connections have their turn.
 */
export class LimitedConnection extends Duplex {
	readonly #socket: Socket;
	readonly #options: Options;
	#openRequests = 0;
	#waitingBytes = 0;
	#lastRequest: IncomingMessage | undefined;
	#sliceLength = 0;
	/** Bytes still to come of the body of the last request, as far as its head names them. */
	#bodyBytes = 0;
	#isWanted = false;
	#isTurnOver = true;

	constructor(socket: Socket, options: Options) {
		super({allowHalfOpen: true});
		this.#socket = socket;
		this.#options = options;
		socket.on('readable', () => {
			this.#forward();
			this.#countWaitingBytes();
		});
		socket.once('end', () => {
			this.push(null);
		});
		socket.on('error', error => {
			this.destroy(error);
		});
		socket.once('close', () => {
			this.destroy();
		});
		socket.on('timeout', () => {
			this.emit('timeout');
		});
	}

	/** Requests that have no complete answer yet. */
	get openRequests(): number {
		return this.#openRequests;
	}

	/** Bytes that the socket has received and that are not parsed yet. */
	get waitingBytes(): number {
		return this.#waitingBytes;
	}

	/** True while a request that has been read completely waits for its answer. */
	get isServing(): boolean {
		return this.#openRequests > 1 || (this.#openRequests === 1 && this.#lastRequest?.complete === true);
	}

	/** Counts a request as open until its answer is sent. */
	addRequest(request: IncomingMessage, response: ServerResponse): void {
		this.#openRequests++;
		this.#lastRequest = request;
		this.#bodyBytes = Number(request.headers['content-length'] ?? 0) - this.#sliceLength;
		response.once('close', () => {
			this.#openRequests--;
			this.#options.onAnswered?.(this);
			this.#forward();
		});
	}

	/** Used by `node:http` for the keep-alive time-out. */
	setTimeout(limitMs: number): this {
		this.#socket.setTimeout(limitMs);
		return this;
	}

	/** Used by `node:http` after the last answer of a connection. */
	destroySoon(): void {
		this.end();
		if (this.writableFinished) {
			this.destroy();
		} else {
			this.once('finish', () => {
				this.destroy();
			});
		}
	}

	override _read(): void {
		this.#isWanted = true;
		this.#forward();
	}

	override _write(chunk: Uint8Array, _encoding: BufferEncoding, callback: Callback): void {
		this.#socket.write(chunk, callback);
	}

	override _writev(chunks: readonly Chunk[], callback: Callback): void {
		this.#socket.cork();
		for (const [position, {chunk}] of chunks.entries()) {
			this.#socket.write(chunk, position === chunks.length - 1 ? callback : undefined);
		}

		this.#socket.uncork();
	}

	override _final(callback: Callback): void {
		this.#socket.end(callback);
	}

	override _destroy(...[error, callback]: Parameters<Duplex['_destroy']>): void {
		this.#socket.destroy();
		callback(error);
	}

	/** Passes on a slice of what was received, unless too many requests are open or the turn of this connection is over. */
	#forward(): void {
		if (!this.#isWanted || !this.#isTurnOver || this.destroyed || this.#hasTooManyOpenRequests()) {
			return;
		}

		const length = Math.min(Math.max(sliceBytes, this.#bodyBytes), this.#socket.readableLength);
		const slice: unknown = this.#socket.read(length || undefined);
		if (slice === null) {
			return;
		}

		this.#sliceLength = length;
		this.#bodyBytes -= length;
		this.#isWanted = false;
		this.#isTurnOver = false;
		setImmediate(() => {
			this.#isTurnOver = true;
			this.#forward();
		});
		this.#countWaitingBytes();
		this.push(slice);
	}

	#countWaitingBytes(): void {
		const change = this.#socket.readableLength - this.#waitingBytes;
		if (change !== 0 && !this.destroyed) {
			this.#waitingBytes += change;
			this.#options.onWaiting?.(change);
		}
	}

	#hasTooManyOpenRequests(): boolean {
		// A request whose body is still being received ends only if it is read on.
		const whole = this.#lastRequest?.complete === false ? this.#openRequests - 1 : this.#openRequests;
		return whole >= this.#options.maximumOpenRequests;
	}
}
