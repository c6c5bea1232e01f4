import {
	type AddressInfo, createServer, connect, type Server, type Socket,
} from 'node:net';

export type Direction = 'there' | 'back';

/** Connection of a caller; it has no target while the target is down. */
type Link = {readonly caller: Socket; target: Socket | undefined; readonly pumps: Array<() => void>};

type Chunk = {readonly bytes: Uint8Array | 'end'; readonly dueAt: number};

/**
 * Proxy of one connection between two programs on loopback. It delays bytes, holds them back in one or both directions
 * (they arrive once the silence is over, as on a network that repeats lost packets), resets connections, and lets
 * calls wait while the target is down: the next one gets them, also those of callers that have given up meanwhile.
 */
export class ConnectionProxy {
	readonly #server: Server;
	readonly #silences: Record<Direction, number> = {there: 0, back: 0};
	#delayMs = 0;
	readonly #links = new Set<Link>();
	#targetPort: number | undefined;

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

	/** Connects callers to this address from now on, as `host:port`, also those that wait. */
	setTarget(address: string): void {
		this.#targetPort = Number(address.split(':')[1]);
		for (const link of this.#links) {
			if (link.target === undefined) {
				this.#connect(link, this.#targetPort);
			}
		}
	}

	/** Lets callers wait for the next target, with open connections too; what they send from now on goes there. */
	removeTarget(): void {
		this.#targetPort = undefined;
		for (const link of this.#links) {
			const {target} = link;
			link.target = undefined;
			target?.destroy();
		}
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

		for (const link of this.#links) {
			pumpAll(link);
		}
	}

	reset(): void {
		for (const {caller, target} of this.#links) {
			caller.resetAndDestroy();
			target?.resetAndDestroy();
		}
	}

	close(): void {
		this.#server.close();
		for (const {caller, target} of this.#links) {
			caller.destroy();
			target?.destroy();
		}
	}

	#join(caller: Socket): void {
		const link: Link = {caller, target: undefined, pumps: []};
		this.#links.add(link);
		this.#forward(link, {from: caller, direction: 'there', findReceiver: () => link.target});
		caller.on('error', () => undefined);
		caller.once('close', () => {
			this.#drop(link);
		});
		if (this.#targetPort !== undefined) {
			this.#connect(link, this.#targetPort);
		}
	}

	#connect(link: Link, port: number): void {
		const target = connect({port, host: '127.0.0.1', allowHalfOpen: true});
		link.target = target;
		this.#forward(link, {from: target, direction: 'back', findReceiver: () => link.target === target ? link.caller : undefined});
		target.on('error', () => undefined);
		target.once('close', () => {
			if (link.target === target) {
				this.#drop(link);
			}
		});
		pumpAll(link);
	}

	#drop(link: Link): void {
		this.#links.delete(link);
		link.caller.destroy();
		link.target?.destroy();
	}

	#forward(link: Link, options: {from: Socket; direction: Direction; findReceiver: () => Socket | undefined}): void {
		const {from, direction, findReceiver} = options;
		const chunks: Chunk[] = [];
		let timer: NodeJS.Timeout | undefined;
		const pump = (): void => {
			clearTimeout(timer);
			const to = findReceiver();
			if (to === undefined) {
				return;
			}

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

		link.pumps.push(pump);
		from.setNoDelay(true);
		from.on('data', push);
		from.once('end', () => {
			push('end');
		});
	}
}

function pumpAll({pumps}: Link): void {
	for (const pump of pumps) {
		pump();
	}
}
