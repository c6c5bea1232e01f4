import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type FleetEvent} from '@rosemaryquay/testing/jobs/fleet-event';
import {checkProcesses} from './check-processes.js';

const signal = (at: number, name: string): FleetEvent => ({
	type: 'signalled', at, process: 'entry-1', signal: name,
});
const exit = (at: number, code: number, by = ''): FleetEvent => ({
	type: 'exited', at, process: 'entry-1', code, signal: by,
});
const order = (at: number, fence: number, status = 200): FleetEvent => ({
	type: 'ordered', at, worker: 'w1', path: '/hold', fence, status,
});
const elect = (at: number, fence: number): FleetEvent => ({
	type: 'owner-elected', at, process: 'entry-1', fence,
});
const fault = (type: 'fault-begun' | 'fault-ended', at: number, number = 1, kind = 'store-silent'): FleetEvent => ({
	type, at, fault: number, kind, target: 'store',
});
const list: FleetEvent = {
	type: 'worker-listed', at: 5000, worker: 'w1', hadExpired: true,
};
const restart: FleetEvent = {
	type: 'worker-started', at: 25, worker: 'w1', cpuMillis: 1,
};
const outage = [fault('fault-begun', 1000), fault('fault-ended', 4900)];

const cases: Array<{guardsAgainst: string; events: FleetEvent[]; rules: string[]}> = [
	{guardsAgainst: 'an alarm about an exit in time', events: [signal(0, 'SIGTERM'), exit(6000, 0)], rules: []},
	{guardsAgainst: 'an exit that takes more than 6 s', events: [signal(0, 'SIGTERM'), exit(6001, 0)], rules: ['slow-exit']},
	{guardsAgainst: 'a repeated SIGTERM that begins the 6 s anew', events: [signal(0, 'SIGTERM'), signal(3000, 'SIGTERM'), exit(6500, 0)], rules: ['slow-exit']},
	{
		guardsAgainst: 'an alarm about an exit that a pause delayed',
		events: [signal(0, 'SIGTERM'), signal(1000, 'SIGSTOP'), signal(4000, 'SIGCONT'), exit(8000, 0)],
		rules: [],
	},
	{
		guardsAgainst: 'a pause before SIGTERM that would excuse a slow exit',
		events: [signal(0, 'SIGSTOP'), signal(4000, 'SIGTERM'), signal(5000, 'SIGCONT'), exit(11_001, 0)],
		rules: ['slow-exit'],
	},
	{guardsAgainst: 'an exit that nobody asked for', events: [exit(10, 1)], rules: ['unexpected-exit']},
	{guardsAgainst: 'a failure while a process shuts down', events: [signal(0, 'SIGTERM'), exit(10, 1)], rules: ['unexpected-exit']},
	{guardsAgainst: 'a program that does not handle SIGTERM', events: [signal(0, 'SIGTERM'), exit(10, -1, 'SIGTERM')], rules: ['unexpected-exit']},
	{guardsAgainst: 'a second SIGTERM that ends the program during its shutdown', events: [signal(0, 'SIGTERM'), signal(5, 'SIGTERM'), exit(10, -1, 'SIGTERM')], rules: ['unexpected-exit']},
	{guardsAgainst: 'a kill that would excuse the exit of the next process', events: [signal(0, 'SIGKILL'), exit(10, -1, 'SIGKILL'), exit(500, 1)], rules: ['unexpected-exit']},
	{
		guardsAgainst: 'an error in the log',
		events: [{
			type: 'error-logged', at: 0, process: 'entry-1', text: 'x',
		}],
		rules: ['error'],
	},
	{
		guardsAgainst: 'memory without a bound',
		events: [100e6, 251e6].map(bytes => ({
			type: 'memory', at: 0, process: 'entry-1', bytes,
		})),
		rules: ['memory'],
	},
	{guardsAgainst: 'a token that goes back at a worker', events: [order(10, 2), order(20, 1)], rules: ['fence']},
	{guardsAgainst: 'an alarm about a former owner that a worker refuses', events: [order(10, 2), order(20, 1, 409), order(30, 2)], rules: []},
	{guardsAgainst: 'an alarm about the first order to a new incarnation', events: [order(10, 2), restart, order(30, 1)], rules: []},
	{guardsAgainst: 'two owners with the same token', events: [elect(10, 2), elect(20, 2)], rules: ['fence']},
	{guardsAgainst: 'a worker that is not used after an outage of the store', events: [...outage, list, order(7001, 1)], rules: ['reuse']},
	{guardsAgainst: 'an alarm about a worker that is used in time', events: [...outage, list, order(7000, 1)], rules: []},
	{
		guardsAgainst: 'an alarm about a worker that another fault hits too',
		events: [...outage, list, fault('fault-begun', 6000, 2, 'process-killed'), order(7001, 1), fault('fault-ended', 8000, 2, 'process-killed')],
		rules: [],
	},
	{
		guardsAgainst: 'an alarm about a worker when an earlier fault lasts',
		events: [fault('fault-begun', 500, 2, 'process-paused'), ...outage, list, order(7001, 1), fault('fault-ended', 8000, 2, 'process-paused')],
		rules: [],
	},
];

describe('checkProcesses', () => {
	for (const {guardsAgainst, events, rules} of cases) {
		it(`guards against ${guardsAgainst}`, () => {
			assert.deepEqual(checkProcesses(events).map(({rule}) => rule), rules);
		});
	}
});
