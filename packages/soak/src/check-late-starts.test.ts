import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type FleetEvent} from '@rosemaryquay/testing/jobs/fleet-event';
import {checkEvents} from './check-events.js';

/** Time of the last submission in milliseconds, and of the last answer, with which a run ends. */
const loadEndedAt = 1000;
const endedAt = 30_000;

const submit = (job: string, changes: {cpuMillis?: number; longRunning?: boolean; after?: number[]} = {}): FleetEvent => ({
	type: 'submitted',
	at: loadEndedAt,
	job,
	organisation: 'north',
	steps: [{
		count: 1, cpuMillis: 1000, estimatedMs: 100, after: [], allowDuplicates: false, longRunning: false, ...changes,
	}],
});
const answer = (job: string, method: 'submit' | 'read' | 'cancel', at: number, changes: {status?: number; state?: string} = {}): FleetEvent => ({
	type: 'answered', at, sentAt: at, method, job, key: 'key-north', status: 200, state: '', ...changes,
});
const start = (at: number, task = 'a.0.0.0', on = 'w1'): FleetEvent => ({
	type: 'started', at, worker: on, task, run: 1,
});
const end = (at: number, task = 'a.0.0.0', outcome = 'done'): FleetEvent => ({
	type: 'ended', at, worker: 'w1', task, run: 1, end: outcome,
});
const worker = (id: string, at = 0): FleetEvent => ({
	type: 'worker-started', at, worker: id, cpuMillis: 8000,
});
const crash = (at: number, on: string): FleetEvent => ({type: 'worker-crashed', at, worker: on});
const limit = (cpuMillis: number): FleetEvent => ({
	type: 'limited', at: 0, organisation: 'north', cpuMillis,
});
const accepted = [submit('a'), answer('a', 'submit', loadEndedAt)];
const lasting = [submit('a', {longRunning: true}), answer('a', 'submit', loadEndedAt)];
const holder = (cpuMillis: number): FleetEvent[] => [submit('b', {cpuMillis, longRunning: true}), answer('b', 'submit', loadEndedAt), start(1100, 'b.0.0.0')];

const cases: Array<{guardsAgainst: string; events: FleetEvent[]; isLate: boolean}> = [
	{guardsAgainst: 'a job that has nothing running although it could', events: accepted, isLate: true},
	{guardsAgainst: 'a job that starts 2 s too late', events: [...accepted, start(20_000)], isLate: true},
	{guardsAgainst: 'an alarm about a job that starts in time', events: [...accepted, start(16_900)], isLate: false},
	{guardsAgainst: 'an alarm about a job that has run', events: [...accepted, start(2000), end(2100)], isLate: false},
	{guardsAgainst: 'a job whose run failed and that does not start again', events: [...accepted, start(2000), end(2100, 'a.0.0.0', 'failed')], isLate: true},
	{guardsAgainst: 'an alarm about a job that is cancelled', events: [...accepted, answer('a', 'cancel', 2000)], isLate: false},
	{guardsAgainst: 'an alarm about a job that was refused', events: [submit('a'), answer('a', 'submit', loadEndedAt, {status: 503})], isLate: false},
	{guardsAgainst: 'a job that waits at less than half of its limit', events: [...accepted, ...holder(1000), limit(2100)], isLate: true},
	{guardsAgainst: 'an alarm about a job at half of its limit', events: [...accepted, ...holder(1000), limit(2000)], isLate: false},
	{guardsAgainst: 'an alarm about a job on workers of which half is in use', events: [...accepted, ...holder(8000)], isLate: false},
	{guardsAgainst: 'an alarm about a task with room for only one like it', events: [submit('a', {cpuMillis: 5000}), answer('a', 'submit', loadEndedAt), crash(2000, 'w2')], isLate: false},
	{guardsAgainst: 'a long-running task that is not started again', events: [...lasting, start(2000), end(16_000, 'a.0.0.0', 'lapsed')], isLate: true},
	{guardsAgainst: 'an alarm about a long-running task within the time after its last run', events: [...lasting, start(2000), end(22_000, 'a.0.0.0', 'lapsed')], isLate: false},
];

describe('starts after the load', () => {
	for (const {guardsAgainst, events, isLate} of cases) {
		it(`guards against ${guardsAgainst}`, () => {
			const found = checkEvents([worker('w1'), worker('w2'), ...events, answer('other', 'read', endedAt)]).filter(({rule}) => rule === 'late-start');
			assert.equal(found.length, isLate ? 1 : 0, JSON.stringify(found));
		});
	}
});
