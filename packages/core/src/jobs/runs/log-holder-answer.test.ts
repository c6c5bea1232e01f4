import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {configurationSchema} from '../state/configuration-schema.js';
import {
	leaseSlackMs, maximumReportedEnds, slowestClockRate, taskLeaseMs,
} from '../state/constants.js';
import {createScheduler} from '../state/create-scheduler.js';
import {type SchedulerEffect} from '../state/effect.js';
import {type EndedTask, type SchedulerEvent} from '../state/event.js';
import {reduceScheduler} from '../state/reduce-scheduler.js';
import {type ListedWorker} from '../state/scheduler.js';

const configuration = configurationSchema.parse({
	version: 1, queues: [], pools: [{name: 'planner'}], organisations: [], maximumBodyBytes: 1000,
});

const listing: ListedWorker = {
	id: 'w1', address: '10.0.0.1:80', service: 'planner', availabilityZone: 'east', rack: 'r1', labels: [], capacity: {cpuMillis: 1000, memoryMb: 1000, accelerators: 0}, leaving: false, instance: 'm1', startedAtMs: 2000,
};

/** Creates an owner that took over at 100 ms with one recorded holder; another worker is listed and was not recorded. */
function createOwner() {
	const scheduler = createScheduler({
		term: 2, now: 100, configuration, holders: [{
			id: 'w1', address: '10.0.0.1:80', instance: 'm1', service: 'planner', boundedStartedAtMs: 2000,
		}],
	});
	const state = {now: 100};
	const dispatch = (event: SchedulerEvent): SchedulerEffect[] => reduceScheduler(scheduler, event, {now: state.now, timeOfDay: state.now});
	dispatch({type: 'worker-listed', worker: listing});
	dispatch({type: 'worker-listed', worker: {...listing, id: 'w2', address: '10.0.0.2:80'}});
	dispatch({type: 'ticked'});
	/** Advances the time in steps of a tick. */
	const advance = (durationMs: number): SchedulerEffect[] => {
		const effects: SchedulerEffect[] = [];
		for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 40) {
			state.now += 40;
			effects.push(...dispatch({type: 'ticked'}));
		}

		return effects;
	};

	const report = (worker: string, ended: readonly EndedTask[] = []): SchedulerEffect[] => dispatch({
		type: 'worker-reported', worker, requestedAt: state.now, report: {
			startedAtMs: 2000, clockMs: 700, ended, running: [{
				task: 'a.0.0.0', run: 1, checkpoint: '', percent: 10, load: 0,
			}],
		},
	});
	return {
		state, dispatch, advance, report,
	};
}

type LogLine = {readonly [field: string]: unknown; readonly event: string};

const listHolderLines = (effects: readonly SchedulerEffect[]): LogLine[] => effects.filter(effect => effect.type === 'log').filter(({event}) => event.startsWith('holder-')).map(({event, fields}) => ({event, ...fields}));

describe('log of the first report of a recorded holder', () => {
	const leaseMs = Math.round((taskLeaseMs / slowestClockRate) + leaseSlackMs);
	const line = {
		event: 'holder-answered', worker: 'w1', startedAtMs: 2000, listedStartedAtMs: 2000, running: 1, leaseMs,
	};

	it('appears once, for the holder only', () => {
		const {state, advance, report} = createOwner();
		state.now += 30;
		assert.deepEqual(listHolderLines(report('w1')), [{...line, sinceTakeoverMs: 30}]);
		assert.deepEqual(listHolderLines([...report('w1'), ...report('w2'), ...advance(20_000)]), []);
	});

	it('appears once when the holder has more ends than one report holds', () => {
		const {report} = createOwner();
		const ended = Array.from({length: maximumReportedEnds}, (_, index): EndedTask => ({
			number: index + 1, task: `b.0.0.${index}`, run: 1, end: 'done', checkpoint: '',
		}));
		assert.equal(listHolderLines(report('w1', ended)).length, 1);
		assert.deepEqual(listHolderLines(report('w1', ended)), []);
	});
});

describe('log of a recorded holder that has not answered', () => {
	const known = {
		worker: 'w1', service: 'planner', instance: 'm1', boundedStartedAtMs: 2000, listedStartedAtMs: 2000, leaving: false, unlistedMs: undefined,
	};

	it('appears once when the wait is over, and the holder\'s later answer after it', () => {
		const {advance, report} = createOwner();
		const [silent, line, ...others] = listHolderLines(advance(20_000));
		assert.deepEqual(others, []);
		assert.equal(silent?.event, 'holder-silent');
		assert.deepEqual({...line, waitedMs: undefined}, {
			event: 'holder-abandoned', ...known, reason: 'unanswered', waitedMs: undefined,
		});
		assert.ok(Number(line?.waitedMs) > taskLeaseMs);
		assert.deepEqual(listHolderLines(report('w1')).map(({event}) => event), ['holder-answered']);
	});

	it('has no start time when the store does not list the holder', () => {
		const {dispatch, advance} = createOwner();
		dispatch({type: 'worker-unlisted', id: 'w1'});
		const lines = listHolderLines(advance(20_000));
		assert.deepEqual(lines.map(({event, listedStartedAtMs}) => ({event, listedStartedAtMs})), [
			{event: 'holder-silent', listedStartedAtMs: undefined}, {event: 'holder-abandoned', listedStartedAtMs: undefined},
		]);
	});

	it('has the reason when the owner learns that the holder has ended', () => {
		const {dispatch, advance} = createOwner();
		const effects = dispatch({type: 'report-failed', worker: 'w1', outcome: 'other-worker'});
		assert.deepEqual(listHolderLines(effects), [{
			event: 'holder-abandoned', ...known, reason: 'address-reused', waitedMs: 0,
		}]);
		assert.deepEqual(listHolderLines(advance(20_000)), []);
	});
});
