/**
 * Splits a byte stream into frames. Invalid input is returned as an error, never thrown.
 */
import {Buffer} from 'node:buffer';
import {Decoder} from 'cbor-x';
import {lengthPrefixBytes, maximumFrameBytes} from './constants.js';

/** Why a stream cannot be read further. */
export type FrameError = 'frame-too-large' | 'frame-invalid';

export type FrameReadResult = {
	readonly frames: readonly unknown[];
	readonly error?: FrameError;
};

const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

export class FrameReader {
	#chunks: Uint8Array[] = [];
	#bufferedBytes = 0;

	/** Bytes of an incomplete frame. */
	get bufferedBytes(): number {
		return this.#bufferedBytes;
	}

	/** Appends a chunk and returns the frames that it completes, up to the first error. */
	push(chunk: Uint8Array): FrameReadResult {
		this.#chunks.push(chunk);
		this.#bufferedBytes += chunk.length;
		const frames: unknown[] = [];
		while (this.#bufferedBytes >= lengthPrefixBytes) {
			const bytes = this.#joinChunks();
			const payloadLength = new DataView(bytes.buffer, bytes.byteOffset).getUint32(0);
			if (payloadLength > maximumFrameBytes) {
				return {frames, error: 'frame-too-large'};
			}

			const frameEnd = lengthPrefixBytes + payloadLength;
			if (bytes.length < frameEnd) {
				break;
			}

			try {
				frames.push(decoder.decode(bytes.subarray(lengthPrefixBytes, frameEnd)));
			} catch {
				return {frames, error: 'frame-invalid'};
			}

			this.#chunks = [bytes.subarray(frameEnd)];
			this.#bufferedBytes = bytes.length - frameEnd;
		}

		return {frames};
	}

	#joinChunks(): Uint8Array {
		const [first] = this.#chunks;
		const joined = this.#chunks.length === 1 && first !== undefined ? first : Buffer.concat(this.#chunks);
		this.#chunks = [joined];
		return joined;
	}
}
