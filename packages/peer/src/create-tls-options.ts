import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type ConnectionOptions, type TlsOptions} from 'node:tls';

/**
 * Cipher suites with a pre-shared key (PSK) and forward secrecy. Node.js supports PSK up to TLS 1.2 only.
 */
const ciphers = 'ECDHE-PSK-CHACHA20-POLY1305:DHE-PSK-AES256-GCM-SHA384';
const pskIdentity = 'rosemaryquay-peer';

/**
 * Creates the TLS options with which two processes authenticate each other with a shared secret.
 *
 * @param secret - secret that all processes share, at least 32 characters
 * @returns options for the server and the client side
 * @example
 * createServer(createTlsOptions(secret).server);
 */
export function createTlsOptions(secret: string): {server: TlsOptions; client: ConnectionOptions} {
	// The prefix gives a key for this purpose only (domain separation).
	const psk = createHash('sha256').update('rosemaryquay peer key\0').update(secret).digest();
	return {
		server: {
			ciphers,
			minVersion: 'TLSv1.2',
			maxVersion: 'TLSv1.2',
			pskCallback: (_socket, identity) => (identity === pskIdentity ? Buffer.from(psk) : null),
		},
		client: {
			ciphers,
			minVersion: 'TLSv1.2',
			maxVersion: 'TLSv1.2',
			// The pre-shared key authenticates the server; there is no certificate to verify.
			checkServerIdentity: () => undefined,
			pskCallback: () => ({identity: pskIdentity, psk: Buffer.from(psk)}),
		},
	};
}
