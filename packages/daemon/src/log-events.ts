/**
 * Catalogue of log events. Numbers are stable; `docs/LOG-EVENTS.md` is generated from it.
 * 1xx process, 2xx requests, 3xx configuration and membership, 4xx fleet, 5xx audit trace.
 */

export type Level = 'debug' | 'info' | 'warn' | 'error';

export const logEvents = {
	'process-started': {
		number: 100, level: 'info', text: 'The daemon has started', action: 'None.',
	},
	'process-ready': {
		number: 101, level: 'info', text: 'The daemon is ready for callers', action: 'None.',
	},
	'process-shutdown-begun': {
		number: 102, level: 'info', text: 'A graceful shutdown has begun', action: 'None.',
	},
	'process-shutdown-finished': {
		number: 103, level: 'info', text: 'The daemon has stopped', action: 'None.',
	},
	'process-shutdown-forced': {
		number: 104, level: 'error', text: 'The daemon stopped with requests unfinished', action: 'Check the deadline of the shutdown against the longest request.',
	},
	'process-invariant-broken': {
		number: 105, level: 'error', text: 'The program contradicted itself and stops', action: 'Report the log line; the balancer moves callers to other instances.',
	},
	'process-settings-invalid': {
		number: 106, level: 'error', text: 'The settings are invalid', action: 'Correct the named entries; `rosemaryquay check` shows them offline.',
	},
	'request-refused': {
		number: 200, level: 'debug', text: 'A request was refused', action: 'Look up the reason in docs/METRICS.md.',
	},
	'request-malformed': {
		number: 201, level: 'debug', text: 'A request could not be read', action: 'None; the caller received the reason.',
	},
	'worker-ejected': {
		number: 210, level: 'warn', text: 'A worker fails most of what it runs and gets no more work until it passes its probes', action: 'Look at the worker named in `subject`.',
	},
	'worker-returned': {
		number: 211, level: 'info', text: 'An ejected worker has passed its probes and returns', action: 'None.',
	},
	'worker-leaving': {
		number: 212, level: 'info', text: 'A worker refused work because it is leaving', action: 'None; if the instance list shows it as live for long, check the list.',
	},
	'job-parked': {
		number: 213, level: 'warn', text: 'A job failed on several workers in a row and is parked for a minute', action: 'Tell the owner of the queue in `subject`; other jobs are not affected.',
	},
	'answer-mismatched': {
		number: 214, level: 'error', text: 'A worker returned the answer of another attempt; it was dropped', action: 'Check the worker software and any proxy in front of it.',
	},
	'catalogue-loaded': {
		number: 300, level: 'info', text: 'A catalogue revision is in force', action: 'None.',
	},
	'catalogue-invalid': {
		number: 301, level: 'error', text: 'The catalogue in the store is invalid; the last accepted one stays in force', action: 'Correct the named entries.',
	},
	'store-unavailable': {
		number: 302, level: 'warn', text: 'The store does not answer', action: 'Check the store; work goes on within held portions.',
	},
	'store-available': {
		number: 303, level: 'info', text: 'The store answers again', action: 'None.',
	},
	'instance-list-unavailable': {
		number: 304, level: 'warn', text: 'The instance list does not answer', action: 'Check the platform; the last list stays in use.',
	},
	'operator-act': {
		number: 310, level: 'info', text: 'An operator changed something', action: 'None; the line names the operator.',
	},
	'operator-refused': {
		number: 311, level: 'warn', text: 'A request without a valid operator key was refused', action: 'Check where it came from.',
	},
	'operator-failed': {
		number: 312, level: 'error', text: 'An operator request failed inside the daemon', action: 'Report the log line.',
	},
	'trace-configuration': {
		number: 500, level: 'info', text: 'Trace: a configuration came into force', action: 'Read by `rosemaryquay audit`.',
	},
	'trace-admitted': {
		number: 501, level: 'info', text: 'Trace: a request was admitted with a key', action: 'Read by `rosemaryquay audit`.',
	},
	'trace-started': {
		number: 502, level: 'info', text: 'Trace: an attempt was started', action: 'Read by `rosemaryquay audit`.',
	},
	'trace-ended': {
		number: 503, level: 'info', text: 'Trace: an attempt ended', action: 'Read by `rosemaryquay audit`.',
	},
	'trace-refused': {
		number: 504, level: 'info', text: 'Trace: a request was refused', action: 'Read by `rosemaryquay audit`.',
	},
	'trace-answered': {
		number: 505, level: 'info', text: 'Trace: a request was answered', action: 'Read by `rosemaryquay audit`.',
	},
	'catalogue-corrected': {
		number: 305, level: 'warn', text: 'The store was corrected: direct writes adopted or rejected, lost entries restored', action: 'See docs/operations/control-state.md.',
	},
	'member-registered': {
		number: 306, level: 'info', text: 'The member record is in the store', action: 'None.',
	},
	'member-lease-lost': {
		number: 307, level: 'warn', text: 'The lease of the member record lapsed; the member registers again', action: 'Check for long pauses of the process and for a slow store.',
	},
	'fleet-planner-started': {
		number: 400, level: 'info', text: 'This process has the planner lease and carries maintenance on', action: 'None.',
	},
	'fleet-planner-stopped': {
		number: 401, level: 'warn', text: 'This process no longer has the planner lease', action: 'None when another process starts planning; otherwise check the store.',
	},
	'fleet-instance-suspect': {
		number: 402, level: 'error', text: 'An instance did not work after its reboots and is set aside', action: 'Replace or repair it; `rosemaryquay drain --undo` returns it to service.',
	},
	'fleet-drain-undone': {
		number: 403, level: 'warn', text: 'A drain was undone because the budget was needed', action: 'Check the pool for failures; the plan takes the instance up again.',
	},
	'fleet-record-invalid': {
		number: 404, level: 'error', text: 'A fleet record in the store is invalid; the last valid one stays in use', action: 'Correct or delete the named key.',
	},
} as const satisfies Record<string, {number: number; level: Level; text: string; action: string}>;

export type LogEvent = keyof typeof logEvents;
