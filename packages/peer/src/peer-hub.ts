/**
 * Connections of one process to its peers. Each process dials the peers that it sends to and
 * accepts connections that it only receives from, so that no connection has to be agreed on.
 */
import {
	connect, createServer, type Server, type TLSSocket,
} from 'node:tls';
import {type AddressInfo} from 'node:net';
import {type Message, messageSchema} from '@rosemaryquay/core/membership/message';
import {chooseVersion} from './choose-version.js';
import {computeReconnectDelay} from './compute-reconnect-delay.js';
import {
	handshakeTimeoutMs, idleTimeoutMs, maximumConnections, maximumPendingBytes,
} from './constants.js';
import {createTlsOptions} from './create-tls-options.js';
import {encodeFrame} from './encode-frame.js';
import {FrameReader} from './frame-reader.js';
import {type PeerAddress} from './peer-address.js';
import {type Hello, helloSchema, protocolVersions} from './hello.js';

/** What the hub counts. */
export type PeerCounter =
	| 'peer.authentication-failed'
	| 'peer.frame-invalid'
	| 'peer.frame-too-large'
	| 'peer.version-unsupported'
	| 'peer.message-invalid'
	| 'peer.send-dropped';

export type PeerHubOptions = {
	readonly member: string;
	readonly zone: string;
	readonly secret: string;
	readonly host: string;
	readonly port?: number;
	onMessage(from: string, message: Message): void;
	count?(counter: PeerCounter): void;
};

type Link = {
	readonly address: PeerAddress;
	socket?: TLSSocket;
	ready: boolean;
	failures: number;
	timer?: NodeJS.Timeout;
};

export class PeerHub {
	readonly #options: PeerHubOptions;
	readonly #tls;
	readonly #server: Server;
	readonly #incoming = new Set<TLSSocket>();
	readonly #links = new Map<string, Link>();
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

	/** Port that the hub listens on. */
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
		for (const member of this.#links.keys()) {
			this.#unlink(member);
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

	/** Sets the peers to keep connections to; others are closed. */
	setPeers(peers: readonly PeerAddress[]): void {
		const wanted = new Map(peers.map(peer => [peer.member, peer]));
		for (const [member, {address}] of this.#links) {
			const peer = wanted.get(member);
			if (peer?.host !== address.host || peer.port !== address.port) {
				this.#unlink(member);
			}
		}

		for (const [member, address] of wanted) {
			if (member !== this.#options.member && !this.#links.has(member)) {
				const link: Link = {address, ready: false, failures: 0};
				this.#links.set(member, link);
				this.#dial(link);
			}
		}
	}

	/** Sends a message; it is dropped and counted when the peer is not connected or too slow. */
	send(member: string, message: Message): void {
		const link = this.#links.get(member);
		if (link?.socket === undefined || !link.ready || link.socket.writableLength > maximumPendingBytes) {
			this.#count('peer.send-dropped');
			return;
		}

		link.socket.write(encodeFrame(message));
	}

	#count(counter: PeerCounter): void {
		this.#options.count?.(counter);
	}

	#hello(): Uint8Array {
		const {member, zone} = this.#options;
		const hello: Hello = {
			type: 'hello', versions: [...protocolVersions], member, zone,
		};
		return encodeFrame(hello);
	}

	/** Checks the first frame of a connection; the connection is closed when it does not pass. */
	#greet(value: unknown, socket: TLSSocket): Hello | undefined {
		const hello = helloSchema.safeParse(value);
		if (!hello.success) {
			this.#count('peer.frame-invalid');
			socket.destroy();
			return undefined;
		}

		if (chooseVersion(protocolVersions, hello.data.versions) === undefined) {
			this.#count('peer.version-unsupported');
			socket.destroy();
			return undefined;
		}

		return hello.data;
	}

	#accept(socket: TLSSocket): void {
		const reader = new FrameReader();
		let from: string | undefined;
		this.#incoming.add(socket);
		socket.setTimeout(idleTimeoutMs, () => {
			socket.destroy();
		});
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.#incoming.delete(socket);
		});
		socket.on('data', (chunk: Uint8Array) => {
			const {values, fault} = reader.push(chunk);
			for (const value of values) {
				if (from === undefined) {
					from = this.#greet(value, socket)?.member;
					if (from === undefined) {
						return;
					}

					socket.write(this.#hello());
					continue;
				}

				this.#receive(from, value);
			}

			if (fault !== undefined) {
				this.#count(`peer.${fault}`);
				socket.destroy();
			}
		});
	}

	#receive(from: string, value: unknown): void {
		const message = messageSchema.safeParse(value);
		if (!message.success) {
			this.#count('peer.message-invalid');
			return;
		}

		this.#options.onMessage(from, message.data);
	}

	#dial(link: Link): void {
		const {host, port, member} = link.address;
		const socket = connect({...this.#tls.client, host, port});
		const reader = new FrameReader();
		link.socket = socket;
		socket.setTimeout(handshakeTimeoutMs, () => {
			if (!link.ready) {
				socket.destroy();
			}
		});
		socket.once('secureConnect', () => {
			socket.write(this.#hello());
		});
		socket.on('data', (chunk: Uint8Array) => {
			const {values, fault} = reader.push(chunk);
			for (const value of values) {
				const hello = this.#greet(value, socket);
				link.ready = hello?.member === member;
				link.failures = link.ready ? 0 : link.failures;
			}

			if (fault !== undefined || !link.ready) {
				socket.destroy();
			}
		});
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.#redial(link, socket);
		});
	}

	#redial(link: Link, socket: TLSSocket): void {
		if (this.#stopped || this.#links.get(link.address.member) !== link || link.socket !== socket) {
			return;
		}

		delete link.socket;
		link.ready = false;
		link.failures += 1;
		link.timer = setTimeout(() => {
			this.#dial(link);
		}, computeReconnectDelay(link.failures, Math.random()));
	}

	#unlink(member: string): void {
		const link = this.#links.get(member);
		this.#links.delete(member);
		clearTimeout(link?.timer);
		link?.socket?.destroy();
	}
}
