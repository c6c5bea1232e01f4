import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {lengthBytes} from './constants.js';

// Records would let one frame change how a later one is read.
const encoder = new Encoder({useRecords: false});

/**
 * Encodes a value as one frame: a 4-byte big-endian length and one CBOR item.
 *
 * @param value - plain data
 * @returns the frame
 * @example
 * socket.write(encodeFrame({type: 'hello'}));
 */
export function encodeFrame(value: unknown): Uint8Array {
	const payload = encoder.encode(value);
	const frame = Buffer.allocUnsafe(lengthBytes + payload.length);
	frame.writeUInt32BE(payload.length);
	payload.copy(frame, lengthBytes);
	return frame;
}
