/**
 * Hashes a text to an unsigned 32-bit number (FNV-1a with the finaliser of MurmurHash3). Not cryptographic.
 *
 * @param text - the text
 * @returns the hash
 * @example
 * hashText('worker-1') % partitions;
 */
export function hashText(text: string): number {
	/* eslint-disable no-bitwise -- the hash is defined on 32-bit words */
	let hash = 0x81_1C_9D_C5;
	for (let index = 0; index < text.length; index++) {
		hash = Math.imul(hash ^ text.charCodeAt(index), 0x01_00_01_93); // eslint-disable-line unicorn/prefer-code-point
	}

	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
	/* eslint-enable no-bitwise */
}
