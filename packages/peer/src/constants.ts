/**
 * Limits and time-outs of the peer protocol.
 */

/** Largest payload of a frame, without its length prefix. */
export const maximumFrameBytes = 1024 * 1024;

/** Size of the length prefix of each frame. */
export const lengthPrefixBytes = 4;

/** Time limit for the handshake of a new connection. */
export const handshakeTimeoutMs = 2000;

/** An incoming connection without traffic for this long is closed; peers send summaries far more often (`summaryIntervalMs` of the core package). */
export const idleTimeoutMs = 15_000;

/**
 * Largest number of unsent bytes on a connection; above it, new messages are dropped. Members repeat their state in
 * periodic summaries, which make up for a dropped message.
 */
export const maximumSendBufferBytes = 1024 * 1024;

/** Largest number of simultaneous incoming connections. */
export const maximumConnections = 256;

export const minimumReconnectDelayMs = 100;
export const maximumReconnectDelayMs = 5000;
