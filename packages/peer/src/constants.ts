/**
 * Limits of the peer protocol. Every name carries its unit.
 */

/** Largest frame, without its length. */
export const maximumFrameBytes = 1024 * 1024;

/** Bytes of the length in front of each frame. */
export const lengthBytes = 4;

/** Time within which a new connection has to complete its handshake. */
export const handshakeTimeoutMs = 2000;

/** A connection that has been silent for this long is closed; summaries arrive far more often. */
export const idleTimeoutMs = 15_000;

/** Bytes that may wait in a connection; further messages are dropped, since a newer summary replaces them. */
export const maximumPendingBytes = 1024 * 1024;

/** Incoming connections at once. */
export const maximumConnections = 256;

export const firstReconnectMs = 100;
export const longestReconnectMs = 5000;
