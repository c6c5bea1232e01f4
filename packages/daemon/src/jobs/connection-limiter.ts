import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {chooseConnection} from './choose-connection.js';
import {LimitedConnection} from './limited-connection.js';

export type ConnectionLimits = {
	readonly maximumConnections: number;
	readonly maximumOpenRequests: number;
	readonly maximumOpenRequestsPerConnection: number;
	readonly maximumWaitingBytes: number;
};

/** Why a connection was closed: the limit that was exceeded. */
export type ClosingReason = 'too-many-connections' | 'too-many-open-requests' | 'too-many-bytes';

/** Bounds the connections of an HTTP server and their open requests. At a limit it closes the connections of the callers that use most. */
export class ConnectionLimiter {
	readonly #limits: ConnectionLimits;
	readonly #onClosed: (reason: ClosingReason) => void;
	/** Open connections, the one that was active least recently first. */
	readonly #connections = new Set<LimitedConnection>();
	#openRequests = 0;
	#waitingBytes = 0;

	constructor(options: {limits: ConnectionLimits; onClosed?: ((reason: ClosingReason) => void) | undefined}) {
		const {limits, onClosed = () => undefined} = options;
		this.#limits = limits;
		this.#onClosed = onClosed;
	}

	get connections(): number {
		return this.#connections.size;
	}

	get openRequests(): number {
		return this.#openRequests;
	}

	/** Bytes that were received and are not parsed yet. */
	get waitingBytes(): number {
		return this.#waitingBytes;
	}

	/** Puts the connections of a server under the limits; called once, before it listens. */
	attach(server: Server): void {
		const listeners = server.listeners('connection') as Array<(this: Server, connection: unknown) => void>;
		server.removeAllListeners('connection');
		server.on('connection', (socket: Socket) => {
			const connection = this.#add(socket);
			for (const listener of listeners) {
				listener.call(server, connection);
			}
		});
	}

	/**
	 * Counts a request.
	 *
	 * @param request - the request
	 * @param response - its response
	 * @returns the number of open requests of the connection with this one; 0 when the connection is closed, so that there will be no answer
	 */
	addRequest(request: IncomingMessage, response: ServerResponse): number {
		const connection = request.socket as unknown as LimitedConnection;
		if (connection.destroyed) {
			return 0;
		}

		connection.addRequest(request, response);
		this.#openRequests++;
		this.#renew(connection);
		const largest = this.#openRequests > this.#limits.maximumOpenRequests ? chooseConnection(this.#connections, 'most-open-requests') : undefined;
		if (largest !== undefined) {
			this.#close(largest, 'too-many-open-requests');
		}

		return largest === connection ? 0 : connection.openRequests;
	}

	#add(socket: Socket): LimitedConnection {
		if (this.#connections.size >= this.#limits.maximumConnections) {
			const idle = chooseConnection(this.#connections, 'not-serving') ?? this.#connections.values().next().value;
			if (idle !== undefined) {
				this.#close(idle, 'too-many-connections');
			}
		}

		const connection: LimitedConnection = new LimitedConnection(socket, {
			maximumOpenRequests: this.#limits.maximumOpenRequestsPerConnection,
			onAnswered: answered => {
				if (this.#connections.has(answered)) {
					this.#openRequests--;
					this.#renew(answered);
				}
			},
			onWaiting: bytes => {
				if (this.#connections.has(connection)) {
					this.#addWaitingBytes(bytes);
				}
			},
		});
		this.#connections.add(connection);
		connection.once('close', () => {
			this.#remove(connection);
		});
		return connection;
	}

	#addWaitingBytes(bytes: number): void {
		this.#waitingBytes += bytes;
		const largest = this.#waitingBytes > this.#limits.maximumWaitingBytes ? chooseConnection(this.#connections, 'most-waiting-bytes') : undefined;
		if (largest !== undefined) {
			this.#close(largest, 'too-many-bytes');
		}
	}

	#renew(connection: LimitedConnection): void {
		this.#connections.delete(connection);
		this.#connections.add(connection);
	}

	#close(connection: LimitedConnection, reason: ClosingReason): void {
		this.#remove(connection);
		connection.destroy();
		this.#onClosed(reason);
	}

	#remove(connection: LimitedConnection): void {
		if (this.#connections.delete(connection)) {
			this.#openRequests -= connection.openRequests;
			this.#waitingBytes -= connection.waitingBytes;
		}
	}
}
