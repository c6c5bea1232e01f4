import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type FleetEvent} from '@rosemaryquay/testing/jobs/fleet-event';
import {checkAnswers} from './check-answers.js';

const answer = (method: 'submit' | 'read' | 'cancel', status: number, changes: {state?: string; at?: number; sentAt?: number} = {}): FleetEvent => ({
	type: 'answered', at: 20, sentAt: 10, method, job: 'a', key: 'key', status, state: '', ...changes,
});
const start: FleetEvent = {
	type: 'started', at: 30, worker: 'w1', task: 'a.0.0.0', run: 1,
};
const changeKey = (at: number, isValid: boolean): FleetEvent => ({
	type: 'key-changed', at, key: 'key', isValid,
});

const cases: Array<{guardsAgainst: string; events: FleetEvent[]; rules: string[]}> = [
	{guardsAgainst: 'an accepted job that is lost', events: [answer('submit', 200), answer('read', 410)], rules: ['lost']},
	{guardsAgainst: 'an accepted job that no caller could read again', events: [answer('submit', 504), answer('submit', 200)], rules: ['lost']},
	{guardsAgainst: 'a job that failed although no task did', events: [answer('submit', 200), answer('read', 200, {state: 'failed'})], rules: ['lost']},
	{guardsAgainst: 'a job that was cancelled by nobody', events: [answer('submit', 200), answer('read', 200, {state: 'cancelled'})], rules: ['lost']},
	{guardsAgainst: 'an alarm about a completed job', events: [answer('submit', 503), answer('submit', 200), start, answer('read', 200, {state: 'completed'})], rules: []},
	{guardsAgainst: 'an alarm about a cancelled job', events: [answer('submit', 200), answer('cancel', 504), answer('read', 200, {state: 'cancelled'})], rules: []},
	{guardsAgainst: 'a refused job that runs', events: [answer('submit', 503), answer('submit', 429), start], rules: ['refused-ran']},
	{
		guardsAgainst: 'a refused job that runs before its caller repeats the submission',
		events: [answer('submit', 503), start, answer('submit', 200, {sentAt: 31, at: 40}), answer('read', 200, {state: 'completed'})],
		rules: ['refused-ran'],
	},
	{guardsAgainst: 'an alarm about a job whose outcome was reported as unknown', events: [answer('submit', 504), answer('submit', 503), start], rules: []},
	{guardsAgainst: 'an alarm about a job whose answer was lost', events: [answer('submit', 0), start], rules: []},
	{
		guardsAgainst: 'a withdrawn key that works after 5 s',
		events: [changeKey(100, false), answer('read', 200, {sentAt: 5101, at: 5110}), changeKey(9000, true)],
		rules: ['withdrawn-key'],
	},
	{
		guardsAgainst: 'an alarm about a key within 5 s of its withdrawal, or after it is valid again',
		events: [changeKey(100, false), answer('read', 200, {sentAt: 5100, at: 5110}), changeKey(9000, true), answer('read', 200, {sentAt: 9001, at: 9010})],
		rules: [],
	},
	{
		guardsAgainst: 'a second withdrawal that would postpone the first one',
		events: [changeKey(100, false), changeKey(4000, false), answer('read', 200, {sentAt: 5200, at: 5210})],
		rules: ['withdrawn-key'],
	},
];

describe('checkAnswers', () => {
	for (const {guardsAgainst, events, rules} of cases) {
		it(`guards against ${guardsAgainst}`, () => {
			assert.deepEqual(checkAnswers(events).map(({rule}) => rule), rules);
		});
	}
});
