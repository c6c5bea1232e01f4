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
