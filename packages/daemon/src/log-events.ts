/**
 * List of log events. Names and numbers are stable; `docs/LOG-EVENTS.md` is generated from this file.
 * 1xx process, 2xx requests, 3xx configuration and membership, 4xx fleet, 5xx audit trace,
 * 6xx jobs and their schedule. `rosemaryquayd` writes 1xx to 5xx, the job service 6xx.
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
		number: 104, level: 'error', text: 'The daemon stopped with requests unfinished', action: 'Compare the shutdown time limit with the duration of the longest requests.',
	},
	'process-invariant-broken': {
		number: 105, level: 'error', text: 'An unexpected internal error occurred; the daemon stops', action: 'Report the log line; the load balancer routes callers to other instances.',
	},
	'process-settings-invalid': {
		number: 106, level: 'error', text: 'The settings are invalid', action: 'Correct the named entries; `rosemaryquay check` validates the settings offline.',
	},
	'lines-omitted': {
		number: 106, level: 'warn', text: 'Log lines were omitted because the reader of the log was too slow', action: 'None, unless it repeats.',
	},
	'request-refused': {
		number: 200, level: 'debug', text: 'A request was refused', action: 'Look up the reason in docs/METRICS.md.',
	},
	'request-malformed': {
		number: 201, level: 'debug', text: 'A request could not be read', action: 'None; the caller received the reason.',
	},
	'worker-ejected': {
		number: 210, level: 'warn', text: 'A worker fails most of its attempts; it receives only single requests, as probes, until these succeed', action: 'Check the worker named in `subject`.',
	},
	'worker-returned': {
		number: 211, level: 'info', text: 'The probes of an ejected worker succeeded; it receives work again', action: 'None.',
	},
	'worker-leaving': {
		number: 212, level: 'info', text: 'A worker refused work because it is leaving', action: 'None; if the instance list shows it as live for long, check the list.',
	},
	'job-parked': {
		number: 213, level: 'warn', text: 'A request failed on several workers in a row; requests to the queue with the same body are refused for a minute',
		action: 'Tell the owner of the queue, which `subject` names before the slash; other requests are not affected.',
	},
	'answer-mismatched': {
		number: 214, level: 'error', text: 'A worker returned the response of another attempt; it was discarded', action: 'Check the worker software and any proxy in front of it.',
	},
	'catalogue-loaded': {
		number: 300, level: 'info', text: 'A catalogue revision is in force', action: 'None.',
	},
	'catalogue-invalid': {
		number: 301, level: 'error', text: 'The catalogue in the store is invalid; the last accepted one stays in force', action: 'Correct the named entries.',
	},
	'store-unavailable': {
		number: 302, level: 'warn', text: 'The store does not answer', action: 'Check the store; the daemon continues within the limit portions that it holds.',
	},
	'store-available': {
		number: 303, level: 'info', text: 'The store answers again', action: 'None.',
	},
	'instance-list-unavailable': {
		number: 304, level: 'warn', text: 'The instance list is unreachable or invalid', action: 'Check the platform; the last list stays in use.',
	},
	'operator-act': {
		number: 310, level: 'info', text: 'An operator made a change', action: 'None; the line names the operator.',
	},
	'operator-refused': {
		number: 311, level: 'warn', text: 'A request without a valid operator key was refused', action: 'Check where it came from.',
	},
	'operator-failed': {
		number: 312, level: 'error', text: 'An operator request failed because of an internal error', action: 'Report the log line.',
	},
	'trace-configuration': {
		number: 500, level: 'info', text: 'Trace: a configuration came into force', action: 'None; `rosemaryquay audit` reads this line.',
	},
	'trace-admitted': {
		number: 501, level: 'info', text: 'Trace: a request was admitted', action: 'None; `rosemaryquay audit` reads this line.',
	},
	'trace-started': {
		number: 502, level: 'info', text: 'Trace: an attempt was started', action: 'None; `rosemaryquay audit` reads this line.',
	},
	'trace-ended': {
		number: 503, level: 'info', text: 'Trace: an attempt ended', action: 'None; `rosemaryquay audit` reads this line.',
	},
	'trace-refused': {
		number: 504, level: 'info', text: 'Trace: a request was refused', action: 'None; `rosemaryquay audit` reads this line.',
	},
	'trace-answered': {
		number: 505, level: 'info', text: 'Trace: a request was answered', action: 'None; `rosemaryquay audit` reads this line.',
	},
	'catalogue-corrected': {
		number: 305, level: 'warn', text: 'The store was corrected: direct writes adopted or rejected, lost entries restored', action: 'See docs/operations/control-state.md.',
	},
	'member-registered': {
		number: 306, level: 'info', text: 'The member record of this process is in the store', action: 'None.',
	},
	'member-lease-lost': {
		number: 307, level: 'warn', text: 'The lease of the member record lapsed; the member registers again', action: 'Check for long pauses of the process and for a slow store.',
	},
	'fleet-planner-started': {
		number: 400, level: 'info', text: 'This process holds the planner lease and runs maintenance', action: 'None.',
	},
	'fleet-planner-stopped': {
		number: 401, level: 'warn', text: 'This process no longer holds the planner lease', action: 'None when another process starts planning; otherwise check the store.',
	},
	'fleet-instance-suspect': {
		number: 402, level: 'error', text: 'An instance still failed after its reboots and is kept out of service', action: 'Replace or repair it; `rosemaryquay drain --undo` returns it to service.',
	},
	'fleet-drain-undone': {
		number: 403, level: 'warn', text: 'A drain was undone because its pool exceeds the unavailability limit or its plan was aborted',
		action: 'Check the pool for failures; the plan drains the instance again later.',
	},
	'fleet-record-invalid': {
		number: 404, level: 'error', text: 'A fleet record in the store is invalid; the last valid one stays in use', action: 'Correct or delete the named key.',
	},
	'owner-elected': {
		number: 600, level: 'info', text: 'This process has become the owner of the schedule', action: 'None.',
	},
	'owner-took-over': {
		number: 601, level: 'info', text: 'The new owner has loaded the stored jobs and schedules them', action: 'None.',
	},
	'owner-stepped-down': {
		number: 602, level: 'warn', text: 'This process is no longer the owner of the schedule', action: 'None, unless it repeats; then check the store.',
	},
	'schedule-load-failed': {
		number: 635, level: 'warn', text: 'A part of the schedule could not be read at a takeover; it is read again', action: 'Check the store and the network of the instance.',
	},
	'handover-requested': {
		number: 608, level: 'info', text: 'This process has asked the owner of the schedule, which runs on a much smaller instance, to hand it over', action: 'None.',
	},
	'owner-resignation-failed': {
		number: 603, level: 'warn', text: 'The lease of the schedule ownership could not be revoked and expires on its own', action: 'None.',
	},
	'configuration-adopted': {
		number: 604, level: 'info', text: 'This process has adopted a configuration', action: 'None.',
	},
	'store-lost': {
		number: 605, level: 'warn', text: 'The store does not answer', action: 'Check the store and the network of the instance.',
	},
	'store-regained': {
		number: 606, level: 'info', text: 'The store answers again', action: 'None.',
	},
	'settings-reloaded': {
		number: 607, level: 'info', text: 'The settings file was read again', action: 'Restart the process if `needRestart` lists fields.',
	},
	'job-accepted': {
		number: 610, level: 'info', text: 'A job is stored', action: 'None.',
	},
	'job-cancelled': {
		number: 611, level: 'info', text: 'The cancellation of a job is stored', action: 'None.',
	},
	'job-ended': {
		number: 612, level: 'info', text: 'The end of a job is stored', action: 'None.',
	},
	'call-refused': {
		number: 613, level: 'info', text: 'A call was refused; `omitted` is the number of lines of 609 and 613 that were left out before this one', action: 'Look up the reason in docs/OPERATIONS.md.',
	},
	'connection-closed': {
		number: 609, level: 'info', text: 'A connection was closed because its server had too many connections, open requests or received bytes; `omitted` as with 613', action: 'Look up the reason in docs/operations/callers.md.',
	},
	'call-failed': {
		number: 614, level: 'error', text: 'A call failed because of an internal error', action: 'Report the log line.',
	},
	'tasks-placed': {
		number: 615, level: 'info', text: 'Tasks of a step were placed on workers', action: 'None.',
	},
	'task-ended': {
		number: 616, level: 'info', text: 'A task run ended without completing the task', action: 'None, unless one worker repeats it.',
	},
	'data-wait-ended': {
		number: 617, level: 'info', text: 'Tasks of a job no longer wait for capacity near their data. `ratio` is the learned ratio of far to near run time', action: 'None.',
	},
	'start-refused': {
		number: 620, level: 'info', text: 'A worker did not start a task', action: 'None, unless one worker repeats it.',
	},
	'task-missing': {
		number: 621, level: 'warn', text: 'A worker no longer lists a task and did not report its end; the task is started again', action: 'Check the worker.',
	},
	'task-stalled': {
		number: 622, level: 'warn', text: 'A task makes no progress; it is stopped and started on another worker', action: 'Check the worker.',
	},
	'task-relocated': {
		number: 623, level: 'info', text: 'A long-running task is relocated: it is stopped and started on another worker', action: 'None.',
	},
	'task-speed-limited': {
		number: 624, level: 'info', text: 'The speed limit of a best-effort task was changed', action: 'None.',
	},
	'worker-avoided': {
		number: 625, level: 'warn', text: 'A worker failed several times in a row and receives no tasks for some time', action: 'Check the worker.',
	},
	'worker-slow': {
		number: 650, level: 'warn', text: 'A worker is much slower than its peers; it receives single tasks, and only when no other worker has room. `speed` and `peerSpeed` are relative to the expected run times', action: 'Check the instance.',
	},
	'worker-speed-restored': {
		number: 651, level: 'info', text: 'The tasks of a slow worker have run at the speed of its peers; it receives tasks like any other again', action: 'None.',
	},
	'worker-tasks-lost': {
		number: 626, level: 'warn', text: 'The tasks of a worker ended without a report; they are started again. `startedAtMs` is the start time of the worker in its last report, `openStarts` the tasks with an unanswered start order', action: 'Check the worker.',
	},
	'worker-restarted': {
		number: 652, level: 'warn', text: 'A worker has restarted under its id; `evidence` is what showed it: `report`, `order-answer` or `store-entry`. `openStarts` of its `tasks` have an unanswered start order; the worker is assumed to hold a lease for `leaseMs` more, with the margins for its clock', action: 'See "Leases and incarnations of a worker" in docs/operations/platform.md.',
	},
	'holder-answered': {
		number: 653, level: 'info', text: 'A worker that may run tasks of a former owner has answered this one; it is assumed to hold a lease for `leaseMs` more, with the margins for its clock', action: 'None.',
	},
	'holder-abandoned': {
		number: 654, level: 'warn', text: 'A worker that may run tasks of a former owner has not answered; this owner waits no longer, and starts its tasks elsewhere. `reason` is `unanswered` once the wait is over, otherwise what showed that the worker has ended', action: 'Check the worker; see "Leases and incarnations of a worker" in docs/operations/platform.md.',
	},
	'holder-silent': {
		number: 656, level: 'warn', text: 'A worker that may run tasks of a former owner has not answered this one for a second; jobs of its service wait for `waitMs` more at most. `listedStartedAtMs`, `leaving` and `unlistedMs` say what the store shows of it', action: 'Check the worker; see "Takeovers" in docs/operations/platform.md.',
	},
	'holder-lease-over': {
		number: 663, level: 'warn', text: 'A worker that has not answered can no longer hold a lease for the `runs` that a former owner stored; they are started elsewhere. Other jobs of its service wait for `waitMs` more at most', action: 'Check the worker.',
	},
	'instance-state-changed': {
		number: 664, level: 'info', text: 'The list of instances shows another state or worker of an instance than the list before; `silentMs` is the time since the worker that it showed before has answered', action: 'None.',
	},
	'other-run-stopped': {
		number: 640, level: 'warn', text: 'A run of a task has ended as done while a later one was under way, which is stopped; the end is acknowledged once the later one cannot start any more',
		action: 'Look for event 626 of the first worker: why its tasks were given up.',
	},
	'duplicate-started': {
		number: 660, level: 'info', text: 'A second run of a straggler is started on another worker', action: 'None.',
	},
	'duplicate-ended': {
		number: 661, level: 'info', text: 'One of two runs of a task has ended; the outcome says which one, and whether it completed the task', action: 'None.',
	},
	'duplicate-adopted': {
		number: 662, level: 'info', text: 'Two runs of a task were found after a takeover and both go on', action: 'None.',
	},
	'worker-crashed': {
		number: 637, level: 'warn', text: 'A worker crashed; its runs are listed with the milliseconds since their start orders',
		action: 'Check the worker and the tasks that were started last.',
	},
	'task-isolated': {
		number: 638, level: 'info', text: 'A task during which a worker crashed runs on a worker without others, or with suspected ones only (`isShared`); `suspects` is the number of tasks that may have caused the crash', action: 'None.',
	},
	'task-given-up': {
		number: 639, level: 'error', text: 'A task crashes its workers; it is not started again and its job has failed',
		action: 'Tell the owner of the queue; the job and the step are part of the task\'s name.',
	},
	'progress-not-stored': {
		number: 627, level: 'warn', text: 'Progress could not be stored; the write is retried', action: 'Check the store.',
	},
	'tickets-answered': {
		number: 628, level: 'info', text: 'A request for the tickets of a step was answered', action: 'None.',
	},
	'task-preempted': {
		number: 629, level: 'info', text: 'A task is stopped to make room for a long-running task', action: 'None.',
	},
	'move-asked': {
		number: 633, level: 'info', text: 'The platform is asked to move an instance to another pool', action: 'None.',
	},
	'move-answered': {
		number: 634, level: 'info', text: 'The platform answered a request to move an instance', action: 'None.',
	},
	'pool-load': {
		number: 636, level: 'info', text: 'Load and capacity of a pool, once a second, in thousandths of a core; instances that it keeps (`kept`) and is filled up to (`prepared`); time to the predicted next burst of any pool and its error in milliseconds', action: 'Look here for why jobs wait: no schedulable workers, no free capacity, or organisations at their limit.',
	},
	'tasks-waiting': {
		number: 641, level: 'warn', text: 'Jobs of an organisation have waited on a service for more than 1.5 s for the same reason; `job` and `task` are those that have waited longest, `details` what they wait for. Every 5 s at most',
		action: 'See `endsWhen`. If the reason is `room` or `limit`, look at event 636; if it is `no-worker`, check the workers.',
	},
	'order-decided': {
		number: 645, level: 'info', text: 'Organisations compete for the services named; usage, waiting work and share of each, once a second at most, in thousandths of a core', action: 'Look here for why jobs of an organisation wait: those beyond its share are placed after those of the others.',
	},
	'admission-published': {
		number: 646, level: 'info', text: 'The admission record was published: overloaded queues and the number of organisations whose new jobs wait too long to be of use; at most once a second', action: 'Look at event 636 for the load of the pools.',
	},
	'wave-requested': {
		number: 630, level: 'info', text: 'The operators requested a maintenance wave', action: 'None.',
	},
	'upkeep-answered': {
		number: 631, level: 'info', text: 'The platform answered a request for the upkeep of an instance', action: 'None.',
	},
	'wave-status-published': {
		number: 632, level: 'info', text: 'The status of a maintenance wave was published', action: 'None.',
	},
} as const satisfies Record<string, {number: number; level: Level; text: string; action: string}>;

export type LogEvent = keyof typeof logEvents;
