import {type AdmissionRecord} from '../admission/admission-record.js';
import {type EndedJob, type Progress} from './job-schema.js';
import {type LeaseHolder} from './scheduler.js';

/** A change to what is stored of the schedule. */
export type StoreWrite =
	| {readonly type: 'progress'; readonly job: string; readonly progress: Progress}
	| {readonly type: 'end'; readonly job: string; readonly end: EndedJob}
	| {readonly type: 'holders'; readonly holders: readonly LeaseHolder[]}
	| {readonly type: 'estimates'; readonly summary: string}
	| {readonly type: 'wave'; readonly wave: number; readonly done: readonly string[]};

/** Counts of a queue that are published for callers. */
export type QueueSummary = {readonly waiting: number};

export type SchedulerEffect =
	| {readonly type: 'start'; readonly worker: string; readonly address: string; readonly job: string; readonly task: string; readonly run: number; readonly leaseUntilMs: number; readonly checkpoint: string; readonly ticket: string}
	| {readonly type: 'stop'; readonly worker: string; readonly address: string; readonly task: string; readonly run: number}
	| {readonly type: 'report'; readonly worker: string; readonly address: string; readonly leaseUntilMs: number | undefined; readonly storedEnd: number; readonly waitMs: number}
	| {readonly type: 'limit-speed'; readonly worker: string; readonly address: string; readonly task: string; readonly run: number; readonly percent: number}
	| {readonly type: 'commit'; readonly number: number; readonly writes: readonly StoreWrite[]}
	/** `admission`: the admission record that is to be written with the summary; undefined if the stored one stays as it is. `view`: the encoded view of the schedule, if it has changed since it was last published. */
	| {readonly type: 'publish-summary'; readonly queues: Readonly<Record<string, QueueSummary>>; readonly admission?: AdmissionRecord | undefined; readonly view?: string | undefined}
	| {readonly type: 'publish-wave'; readonly wave: number; readonly state: 'running' | 'completed'}
	/** `call`: number of the call. */
	| {readonly type: 'ask-tickets'; readonly call: number; readonly job: string; readonly occurrence: number; readonly step: number; readonly workers: readonly string[]}
	| {readonly type: 'list-instances'}
	| {readonly type: 'upkeep'; readonly instance: string; readonly wave: number}
	| {readonly type: 'move'; readonly instance: string; readonly pool: string}
	| {readonly type: 'step-down'; readonly reason: string}
	| {readonly type: 'log'; readonly level: 'info' | 'warn'; readonly event: string; readonly fields: Readonly<Record<string, unknown>>};
