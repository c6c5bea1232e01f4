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
	'task.checkpointed': 'Bulk tasks checkpointed and queued again',
	'task.checkpoint-urgent': 'Checkpoints asked for because urgent work waited',
	'task.checkpoint-share': 'Checkpoints asked for because a team held more than its share',
	'task.throttled': 'Bulk tasks throttled for urgent work',
	'task.restarted': 'Checkpointed tasks started from the beginning, their progress lost',
	'retry.lost': 'Retries after a connection to a worker was lost',
	'peer.authentication-failed': 'Peer connections refused for a wrong secret or no TLS',
	'peer.frame-invalid': 'Peer connections closed after a frame that could not be read',
	'peer.frame-too-large': 'Peer connections closed after a frame over the limit',
	'peer.version-unsupported': 'Peer connections closed without a common protocol version',
	'peer.message-invalid': 'Peer messages dropped because they do not match their schema',
	'peer.send-dropped': 'Peer messages not sent for want of a connection or room',
	'catalogue.edit-accepted': 'Edits of the catalogue that were stored',
	'catalogue.edit-conflict': 'Edits refused because the entry had changed',
	'catalogue.edit-invalid': 'Edits refused because the catalogue would be invalid',
	'catalogue.edit-unresolved': 'Edits that ended without an answer of the store',
	'catalogue.invalid': 'Catalogue revisions refused as a whole',
	'catalogue.corrected': 'Transactions that adopted or rejected direct writes or restored lost entries',
	'catalogue.from-peer': 'Catalogue revisions that came from another member',
	'catalogue.relisted': 'Listings of the whole catalogue after the first',
	'member.lease-lost': 'Leases of the member record that lapsed',
	'store.call-failed': 'Store calls of the catalogue and the membership that failed',
} as const;

export type Counter = keyof typeof counters;
