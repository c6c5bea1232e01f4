/**
 * Connections of one process to its peers. Messages travel in one direction on each connection: a process
 * opens a connection to every peer that it sends to and only receives on the connections that it accepts,
 * so that two peers never have to agree on which of two connections to keep.
 */
import {
	connect, createServer, type Server, type TLSSocket,
} from 'node:tls';
import {type AddressInfo} from 'node:net';
import {type Message, messageSchema} from '@rosemaryquay/core/membership/message';
import {negotiateVersion} from './negotiate-version.js';
import {computeReconnectDelay} from './compute-reconnect-delay.js';
import {
	handshakeTimeoutMs, idleTimeoutMs, maximumConnections, maximumSendBufferBytes,
} from './constants.js';
import {createTlsOptions} from './create-tls-options.js';
import {encodeFrame} from './encode-frame.js';
import {FrameReader} from './frame-reader.js';
import {type PeerAddress} from './peer-address.js';
import {type Hello, helloSchema, protocolVersions} from './hello.js';

/** Counters that the hub increments. */
export type PeerCounter =
	| 'peer.authentication-failed'
	| 'peer.frame-invalid'
	| 'peer.frame-too-large'
	| 'peer.version-unsupported'
	| 'peer.message-invalid'
	| 'peer.send-dropped';

export type PeerHubOptions = {
	readonly memberId: string;
	readonly zone: string;
	readonly secret: string;
	readonly host: string;
	readonly port?: number;
	onMessage(sender: string, message: Message): void;
	count?(counter: PeerCounter): void;
};

type OutgoingConnection = {
	readonly address: PeerAddress;
	socket?: TLSSocket;
	/** The hello of the peer has arrived and names the expected member. */
	ready: boolean;
	/** Consecutive failed attempts to connect. */
	failures: number;
	reconnectTimer?: NodeJS.Timeout;
};

export class PeerHub {
	readonly #options: PeerHubOptions;
	readonly #tls;
	readonly #server: Server;
	readonly #incoming = new Set<TLSSocket>();
	readonly #outgoing = new Map<string, OutgoingConnection>();
	#stopped = false;

	constructor(options: PeerHubOptions) {
		this.#options = options;
		this.#tls = createTlsOptions(options.secret);
		this.#server = createServer({...this.#tls.server, handshakeTimeout: handshakeTimeoutMs}, socket => {
			this.#accept(socket);
		});
		this.#server.maxConnections = maximumConnections;
		this.#server.on('tlsClientError', () => {
			this.#count('peer.authentication-failed');
		});
	}

	/** Port that the server listens on. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	async start(): Promise<void> {
		const {host, port = 0} = this.#options;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, host, resolve);
		});
	}

	async stop(): Promise<void> {
		this.#stopped = true;
		for (const memberId of this.#outgoing.keys()) {
			this.#disconnect(memberId);
		}

		const closed = new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		for (const socket of this.#incoming) {
			socket.destroy();
		}

		await closed;
	}

	/** Sets the peers to stay connected to; connections to all others are closed. */
	setPeers(peers: readonly PeerAddress[]): void {
		const wantedPeers = new Map(peers.map(peer => [peer.memberId, peer]));
		for (const [memberId, {address}] of this.#outgoing) {
			const peer = wantedPeers.get(memberId);
			if (peer?.host !== address.host || peer.port !== address.port) {
				this.#disconnect(memberId);
			}
		}

		for (const [memberId, address] of wantedPeers) {
			if (memberId !== this.#options.memberId && !this.#outgoing.has(memberId)) {
				const connection: OutgoingConnection = {address, ready: false, failures: 0};
				this.#outgoing.set(memberId, connection);
				this.#connect(connection);
			}
		}
	}

	/** Sends a message. It is dropped and counted when the peer is not connected or its send buffer is full. */
	send(memberId: string, message: Message): void {
		const connection = this.#outgoing.get(memberId);
		if (connection?.socket === undefined || !connection.ready || connection.socket.writableLength > maximumSendBufferBytes) {
			this.#count('peer.send-dropped');
			return;
		}

		connection.socket.write(encodeFrame(message));
	}

	#count(counter: PeerCounter): void {
		this.#options.count?.(counter);
	}

	#encodeHello(): Uint8Array {
		const {memberId, zone} = this.#options;
		const hello: Hello = {
			type: 'hello', versions: [...protocolVersions], member: memberId, zone,
		};
		return encodeFrame(hello);
	}

	/** Validates a hello frame and closes the connection when it is invalid or no protocol version is in common. */
	#validateHello(frame: unknown, socket: TLSSocket): Hello | undefined {
		const hello = helloSchema.safeParse(frame);
		if (!hello.success) {
			this.#count('peer.frame-invalid');
			socket.destroy();
			return undefined;
		}

		if (negotiateVersion(protocolVersions, hello.data.versions) === undefined) {
			this.#count('peer.version-unsupported');
			socket.destroy();
			return undefined;
		}

		return hello.data;
	}

	#accept(socket: TLSSocket): void {
		const reader = new FrameReader();
		let sender: string | undefined;
		this.#incoming.add(socket);
		socket.setTimeout(idleTimeoutMs, () => {
			socket.destroy();
		});
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.#incoming.delete(socket);
		});
		socket.on('data', (chunk: Uint8Array) => {
			const {frames, error} = reader.push(chunk);
			for (const frame of frames) {
				if (sender === undefined) {
					sender = this.#validateHello(frame, socket)?.member;
					if (sender === undefined) {
						return;
					}

					socket.write(this.#encodeHello());
					continue;
				}

				this.#receive(sender, frame);
			}

			if (error !== undefined) {
				this.#count(`peer.${error}`);
				socket.destroy();
			}
		});
	}

	#receive(sender: string, frame: unknown): void {
		const message = messageSchema.safeParse(frame);
		if (!message.success) {
			this.#count('peer.message-invalid');
			return;
		}

		this.#options.onMessage(sender, message.data);
	}

	#connect(connection: OutgoingConnection): void {
		const {host, port, memberId} = connection.address;
		const socket = connect({...this.#tls.client, host, port});
		const reader = new FrameReader();
		connection.socket = socket;
		socket.setTimeout(handshakeTimeoutMs, () => {
			if (!connection.ready) {
				socket.destroy();
			}
		});
		socket.once('secureConnect', () => {
			socket.write(this.#encodeHello());
		});
		socket.on('data', (chunk: Uint8Array) => {
			const {frames, error} = reader.push(chunk);
			for (const frame of frames) {
				const hello = this.#validateHello(frame, socket);
				connection.ready = hello?.member === memberId;
				connection.failures = connection.ready ? 0 : connection.failures;
			}

			if (error !== undefined || !connection.ready) {
				socket.destroy();
			}
		});
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.#scheduleReconnect(connection, socket);
		});
	}

	#scheduleReconnect(connection: OutgoingConnection, socket: TLSSocket): void {
		if (this.#stopped || this.#outgoing.get(connection.address.memberId) !== connection || connection.socket !== socket) {
			return;
		}

		delete connection.socket;
		connection.ready = false;
		connection.failures += 1;
		connection.reconnectTimer = setTimeout(() => {
			this.#connect(connection);
		}, computeReconnectDelay(connection.failures, Math.random()));
	}

	#disconnect(memberId: string): void {
		const connection = this.#outgoing.get(memberId);
		this.#outgoing.delete(memberId);
		clearTimeout(connection?.reconnectTimer);
		connection?.socket?.destroy();
	}
}
