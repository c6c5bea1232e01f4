import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {lengthPrefixBytes} from './constants.js';

// With record extensions the decoding of a frame would depend on earlier frames.
const encoder = new Encoder({useRecords: false});

/**
 * Encodes a value as one frame: a 4-byte big-endian length prefix and one CBOR item.
 *
 * @param value - plain data that CBOR can represent
 * @returns the encoded frame
 * @example
 * socket.write(encodeFrame({type: 'hello'}));
 */
export function encodeFrame(value: unknown): Uint8Array {
	const payload = encoder.encode(value);
	const frame = Buffer.allocUnsafe(lengthPrefixBytes + payload.length);
	frame.writeUInt32BE(payload.length);
	payload.copy(frame, lengthPrefixBytes);
	return frame;
}
