import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestOwner, type TestOwner} from '../create-test-owner.js';

const tasksPerJob = 6;

/** Creates an owner whose service has just given a task up, with jobs that have not started. */
function createScreenedOwner(workers: number, jobs: number): TestOwner {
	const owner = createTestOwner({workers: Array.from({length: workers}, () => ({}))});
	owner.scheduler.givenUpAt.set('planner', owner.state.now);
	for (let job = 0; job < jobs; job++) {
		owner.submit(`a${job}`, {count: tasksPerJob, cpuMillis: 1000});
	}

	owner.tick(50);
	return owner;
}

describe('start of tasks while tasks of their service crash their workers', () => {
	for (const workers of [1, 2, 3, 4, 8, 20]) {
		for (const jobs of [1, 3, 4, 5, 60]) {
			it(`guards against all workers that crash at once, and against suspects without number: ${jobs} jobs on ${workers} workers`, () => {
				const owner = createScreenedOwner(workers, jobs);
				const used = new Set(owner.started.map(({worker}) => worker));
				assert.ok(used.size <= Math.ceil(workers / 2), `${used.size} workers`);
				for (const worker of used) {
					assert.ok(owner.started.filter(order => order.worker === worker).length <= 4);
				}

				for (let job = 0; job < jobs; job++) {
					assert.ok(owner.listWorkersOf(`a${job}`).length <= 1, 'identical tasks would crash one worker each');
				}
			});
		}
	}

	it('guards against tasks that wait although one of their step has shown that it crashes nothing', () => {
		const owner = createScreenedOwner(4, 3);
		owner.advance(1000);
		for (const job of ['a0', 'a1', 'a2']) {
			assert.equal(owner.listWorkersOf(job).length, tasksPerJob);
		}
	});

	it('guards against a trial that counts as passed because the next incarnation of its worker answers another call', () => {
		const owner = createScreenedOwner(2, 1);
		const [order] = owner.started;
		assert.ok(order);
		owner.tick(1000);
		owner.answerStart({task: 'unknown.0.0.0', worker: order.worker});
		owner.tick(50);
		assert.equal(owner.listWorkersOf('a0').length, 1);
	});

	it('guards against long-running tasks and gangs that wait for a trial', () => {
		const owner = createScreenedOwner(4, 0);
		owner.submit('lasting', {count: 5, longRunning: true});
		owner.submit('gang', {count: 3, gang: true});
		owner.tick(50);
		assert.equal(owner.listWorkersOf('lasting').length, 5);
		assert.equal(owner.listWorkersOf('gang').length, 3);
	});

	it('guards against a task that no trial worker can run', () => {
		const owner = createTestOwner({workers: [{}, {labels: ['b']}, {}, {}]});
		owner.submit('b', {cpuMillis: 12_000, requirement: 'b'});
		owner.advance(500);
		owner.scheduler.givenUpAt.set('planner', owner.state.now);
		owner.submit('a', {requirement: 'b'});
		owner.tick(50);
		assert.deepEqual(owner.listWorkersOf('a'), ['w2']);
	});
});
