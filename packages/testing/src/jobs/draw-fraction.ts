import {createHash} from 'node:crypto';

/**
 * Draws a number that depends on a text only, so that two simulations of the same load get the same draws in any order.
 *
 * @param text - the text
 * @returns a number from 0 to less than 1, evenly distributed
 * @example
 * drawFraction('1 a.0.0.1');
 */
export function drawFraction(text: string): number {
	return createHash('sha256').update(text).digest().readUInt32BE(0) / (2 ** 32);
}
