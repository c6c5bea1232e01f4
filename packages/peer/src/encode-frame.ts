import {Buffer} from 'node:buffer';
import {Encoder} from 'cbor-x';
import {lengthPrefixBytes} from './constants.js';

// With its record extension, cbor-x sends the structure of an object once and refers to it afterwards; each frame must be decodable on its own.
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
