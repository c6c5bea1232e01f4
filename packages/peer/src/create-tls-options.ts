import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type ConnectionOptions, type TlsOptions} from 'node:tls';

/**
 * Ciphers with a pre-shared key and forward secrecy. Node offers pre-shared keys up to TLS 1.2 only.
 */
const ciphers = 'ECDHE-PSK-CHACHA20-POLY1305:DHE-PSK-AES256-GCM-SHA384';
const identity = 'rosemaryquay-peer';

/**
 * Creates the TLS options with which two processes authenticate each other by a shared secret.
 *
 * @param secret - the shared secret of all processes, at least 32 characters
 * @returns options for the server and for the client
 * @example
 * createServer(createTlsOptions(secret).server);
 */
export function createTlsOptions(secret: string): {server: TlsOptions; client: ConnectionOptions} {
	const psk = createHash('sha256').update('rosemaryquay peer key\0').update(secret).digest();
	return {
		server: {
			ciphers,
			minVersion: 'TLSv1.2',
			maxVersion: 'TLSv1.2',
			pskCallback: (_socket, presented) => (presented === identity ? Buffer.from(psk) : null),
		},
		client: {
			ciphers,
			minVersion: 'TLSv1.2',
			maxVersion: 'TLSv1.2',
			// The shared key proves the server's identity; there is no certificate to check.
			checkServerIdentity: () => undefined,
			pskCallback: () => ({identity, psk: Buffer.from(psk)}),
		},
	};
}
