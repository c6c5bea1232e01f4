import {
	type AddressInfo, createServer, connect, type Server, type Socket,
} from 'node:net';

export type Direction = 'there' | 'back';

const directions: readonly Direction[] = ['there', 'back'];

type Chunk = {readonly bytes: Uint8Array | 'end'; readonly dueAt: number};

/**
 * Proxy of one connection between two programs on loopback. It delays bytes, holds them back in one or both directions
 * (they arrive once the silence is over, as on a network that repeats lost packets), and resets connections.
 */
export class ConnectionProxy {
	readonly #server: Server;
	readonly #pumps = new Set<() => void>();
	readonly #sockets = new Set<Socket>();
	readonly #silences: Record<Direction, number> = {there: 0, back: 0};
	#delayMs = 0;
	#targetPort = 0;

	constructor() {
		this.#server = createServer({allowHalfOpen: true}, caller => {
			this.#join(caller);
		});
	}

	/** Listens on a free port of loopback. */
	async start(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, '127.0.0.1', resolve);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Connects callers to this address from now on, as `host:port`. */
	setTarget(address: string): void {
		this.#targetPort = Number(address.split(':')[1]);
	}

	/** Lengthens, or shortens, the delay of all bytes that arrive from now on. */
	changeDelay(changeMs: number): void {
		this.#delayMs += changeMs;
	}

	/** Begins a silence in the given directions, or ends one that was begun; bytes pass again once all have ended. */
	changeSilence(silenced: readonly Direction[], change: 1 | -1): void {
		for (const direction of silenced) {
			this.#silences[direction] += change;
		}

		for (const pump of this.#pumps) {
			pump();
		}
	}

	reset(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	close(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#join(caller: Socket): void {
		const target = connect({port: this.#targetPort, host: '127.0.0.1', allowHalfOpen: true});
		const ends: Record<Direction, readonly [Socket, Socket]> = {there: [caller, target], back: [target, caller]};
		for (const direction of directions) {
			const [from, to] = ends[direction];
			this.#sockets.add(from);
			from.setNoDelay(true);
			from.on('error', () => {
				to.destroy();
			});
			from.once('close', hadError => {
				this.#sockets.delete(from);
				if (hadError) {
					to.destroy();
				}
			});
			this.#forward(from, to, direction);
		}
	}

	#forward(from: Socket, to: Socket, direction: Direction): void {
		const chunks: Chunk[] = [];
		let timer: NodeJS.Timeout | undefined;
		const pump = (): void => {
			clearTimeout(timer);
			while (this.#silences[direction] === 0 && chunks[0] !== undefined) {
				const waitMs = chunks[0].dueAt - Date.now();
				if (waitMs > 0) {
					timer = setTimeout(pump, waitMs);
					return;
				}

				const {bytes} = chunks[0];
				chunks.shift();
				if (bytes === 'end') {
					to.end();
				} else if (to.writable) {
					to.write(bytes);
				}
			}
		};

		const push = (bytes: Uint8Array | 'end'): void => {
			chunks.push({bytes, dueAt: Date.now() + this.#delayMs});
			pump();
		};

		this.#pumps.add(pump);
		from.on('data', push);
		from.once('end', () => {
			push('end');
		});
		to.once('close', () => {
			clearTimeout(timer);
			this.#pumps.delete(pump);
			from.destroy();
		});
	}
}
