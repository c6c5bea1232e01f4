/**
 * Splits a byte stream into frames. Outcomes are values: a hostile stream never throws.
 */
import {Buffer} from 'node:buffer';
import {Decoder} from 'cbor-x';
import {lengthBytes, maximumFrameBytes} from './constants.js';

/** Why a stream cannot be read on. */
export type FrameFault = 'frame-too-large' | 'frame-invalid';

export type Frames = {
	readonly values: readonly unknown[];
	readonly fault?: FrameFault;
};

const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

export class FrameReader {
	#chunks: Uint8Array[] = [];
	#size = 0;

	/** Bytes that wait for the rest of their frame. */
	get pendingBytes(): number {
		return this.#size;
	}

	/** Takes bytes in and returns the frames that they complete, up to the first fault. */
	push(chunk: Uint8Array): Frames {
		this.#chunks.push(chunk);
		this.#size += chunk.length;
		const values: unknown[] = [];
		while (this.#size >= lengthBytes) {
			const bytes = this.#join();
			const length = new DataView(bytes.buffer, bytes.byteOffset).getUint32(0);
			if (length > maximumFrameBytes) {
				return {values, fault: 'frame-too-large'};
			}

			const end = lengthBytes + length;
			if (bytes.length < end) {
				break;
			}

			try {
				values.push(decoder.decode(bytes.subarray(lengthBytes, end)));
			} catch {
				return {values, fault: 'frame-invalid'};
			}

			this.#chunks = [bytes.subarray(end)];
			this.#size = bytes.length - end;
		}

		return {values};
	}

	#join(): Uint8Array {
		const [first] = this.#chunks;
		const joined = this.#chunks.length === 1 && first !== undefined ? first : Buffer.concat(this.#chunks);
		this.#chunks = [joined];
		return joined;
	}
}
