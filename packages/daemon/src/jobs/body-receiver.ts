import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

export type ReceivedBody = {readonly ok: true; readonly body: Uint8Array} | {readonly ok: false; readonly reason: 'body-too-large' | 'too-many-bodies' | 'body-incomplete'};

type Reception = {bytes: number; isWhole: boolean; finish(outcome: ReceivedBody): void};

/** Receives the bodies of requests and counts them until their requests are answered. Beyond a limit on all of them, the largest one that is being received is refused. */
export class BodyReceiver {
	readonly #maximumBytes: number;
	readonly #receptions = new Set<Reception>();
	#bytes = 0;

	constructor(options: {maximumBytes: number}) {
		this.#maximumBytes = options.maximumBytes;
	}

	/** Bytes of all bodies whose requests have no answer. */
	get bytes(): number {
		return this.#bytes;
	}

	/**
	 * Receives a body. What comes after a refusal is discarded.
	 *
	 * @param request - the request
	 * @param options - `limitBytes`, largest body; `signal`, aborted when the request is answered
	 * @returns the body, or why there is none; never rejects
	 */
	async receive(request: IncomingMessage, options: {limitBytes: number; signal: AbortSignal}): Promise<ReceivedBody> {
		const {limitBytes, signal} = options;
		const chunks: Uint8Array[] = [];
		return new Promise(resolve => {
			const add = (chunk: Uint8Array): void => {
				chunks.push(chunk);
				reception.bytes += chunk.length;
				this.#bytes += chunk.length;
				if (reception.bytes > limitBytes) {
					reception.finish({ok: false, reason: 'body-too-large'});
				} else if (this.#bytes > this.#maximumBytes) {
					this.#findLargest()?.finish({ok: false, reason: 'too-many-bodies'});
				}
			};

			const reception: Reception = {
				bytes: 0,
				isWhole: false,
				finish: outcome => {
					if (!this.#receptions.delete(reception)) {
						return;
					}

					reception.isWhole = outcome.ok;
					if (!outcome.ok) {
						this.#bytes -= reception.bytes;
					}

					chunks.length = 0;
					request.off('data', add);
					request.resume();
					resolve(outcome);
				},
			};
			const abandon = (): void => {
				reception.finish({ok: false, reason: 'body-incomplete'});
			};

			this.#receptions.add(reception);
			request.on('data', add);
			request.once('end', () => {
				reception.finish({ok: true, body: Buffer.concat(chunks)});
			});
			request.once('close', abandon);
			request.once('error', abandon);
			signal.addEventListener('abort', () => {
				if (this.#receptions.has(reception)) {
					abandon();
				} else if (reception.isWhole) {
					this.#bytes -= reception.bytes;
				}
			}, {once: true});
		});
	}

	#findLargest(): Reception | undefined {
		let largest: Reception | undefined;
		for (const reception of this.#receptions) {
			if (largest === undefined || reception.bytes > largest.bytes) {
				largest = reception;
			}
		}

		return largest;
	}
}
