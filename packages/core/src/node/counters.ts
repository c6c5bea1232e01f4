/**
 * Counters other than the refusal reasons, with their meaning.
 */
export const counters = {
	'request.accepted': 'Requests admitted to a queue',
	'request.answered': 'Requests answered with a worker\'s answer',
	'attempt.started': 'Attempts sent to a worker',
	'attempt.stale-answer': 'Answers of attempts that had already ended, dropped',
	'retry.not-started': 'Retries after an attempt that did not start',
	'retry.failed': 'Retries after a worker reported a failure',
	'retry.lost': 'Retries after a connection to a worker was lost',
	'peer.authentication-failed': 'Peer connections refused for a wrong secret or no TLS',
	'peer.frame-invalid': 'Peer connections closed after a frame that could not be read',
	'peer.frame-too-large': 'Peer connections closed after a frame over the limit',
	'peer.version-unsupported': 'Peer connections closed without a common protocol version',
	'peer.message-invalid': 'Peer messages dropped because they do not match their schema',
	'peer.send-dropped': 'Peer messages not sent for want of a connection or room',
} as const;

export type Counter = keyof typeof counters;
