import {connect, createServer} from 'node:net';

/**
 * A link between one machine and a service, as a proxy on loopback that can be cut. While it is cut, packets of either
 * direction do not arrive; what was sent on a connection of before arrives once the cut has ended, unless its sender has
 * reset the connection. Connections that are opened during the cut are reset at its end.
 */
export class Link {
	/** Called with each part of what the machine sends, before it is passed on. */
	onSent;
	#server;
	#isCut = false;
	#sockets = new Set();
	#stranded = new Set();
	#pipes = new Set();

	async start(host, service) {
		const [serviceHost, servicePort] = service.split(':');
		this.#server = createServer({allowHalfOpen: true}, near => {
			this.#sockets.add(near);
			near.once('close', () => {
				this.#sockets.delete(near);
			});
			if (this.#isCut) {
				near.on('error', () => undefined);
				near.resume();
				this.#stranded.add(near);
				return;
			}

			const far = connect({host: serviceHost, port: Number(servicePort), allowHalfOpen: true});
			this.#sockets.add(far);
			far.once('close', () => {
				this.#sockets.delete(far);
			});
			this.#join(near, far, part => this.onSent?.(part));
			this.#join(far, near);
		});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
	}

	cut() {
		this.#isCut = true;
	}

	heal() {
		this.#isCut = false;
		for (const pass of this.#pipes) {
			pass();
		}

		for (const socket of this.#stranded) {
			socket.resetAndDestroy();
		}

		this.#stranded.clear();
	}

	stop() {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Passes on what one socket receives to the other one, in order and with its end. */
	#join(from, to, observe = () => undefined) {
		const parts = [];
		const state = {hasEnded: false, isReset: false};
		const pass = () => {
			if (this.#isCut) {
				return;
			}

			if (state.isReset) {
				to.resetAndDestroy();
				return;
			}

			for (const part of parts.splice(0)) {
				to.write(part);
			}

			if (state.hasEnded) {
				to.end();
			}
		};

		this.#pipes.add(pass);
		from.on('data', part => {
			observe(part);
			parts.push(part);
			pass();
		});
		from.once('end', () => {
			state.hasEnded = true;
			pass();
		});
		from.on('error', () => {
			state.isReset = true;
			parts.length = 0;
			pass();
		});
		to.once('close', () => {
			this.#pipes.delete(pass);
		});
	}
}
