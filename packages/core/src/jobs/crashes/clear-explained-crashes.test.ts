import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestOwner, type TestOwner} from '../create-test-owner.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type TaskGroup} from '../state/scheduler.js';
import {giveUpTask} from '../runs/give-up-task.js';

function findGroup({scheduler}: TestOwner, job: string): TaskGroup {
	const group = scheduler.jobs.get(job)?.occurrences.get(0)?.[0]?.groups[0];
	assert.ok(group);
	return group;
}

/** Creates an owner with suspected tasks, of which those named crashed a worker together. */
function createSuspects(crashes: ReadonlyArray<readonly string[]>): TestOwner {
	const owner = createTestOwner({workers: [{}, {}]});
	for (const job of new Set(crashes.flat())) {
		owner.submit(job);
	}

	for (const [index, jobs] of crashes.entries()) {
		owner.scheduler.crashes.push({at: owner.state.now, runs: jobs.map(job => ({group: findGroup(owner, job), run: index + 1}))});
		for (const job of jobs) {
			const group = findGroup(owner, job);
			group.crashedRuns.add(index + 1);
			group.suspected = true;
		}
	}

	return owner;
}

function giveUp(owner: TestOwner, job: string): void {
	const {scheduler, state: {now}} = owner;
	const context: ReducerContext = {
		scheduler, now, timeOfDay: now, effects: [],
	};
	giveUpTask(context, findGroup(owner, job));
}

describe('crashes that a task which is given up explains', () => {
	it('guards against sound tasks that run in isolation one after another once the cause of the crash is known', () => {
		const names = Array.from({length: 20}, (_, position) => `sound${position}`);
		const owner = createSuspects([['culprit', ...names]]);
		giveUp(owner, 'culprit');
		assert.deepEqual(names.filter(name => findGroup(owner, name).suspected), []);
	});

	it('guards against clearing a task whose other crash nothing explains', () => {
		const owner = createSuspects([['culprit', 'other'], ['other', 'third']]);
		giveUp(owner, 'culprit');
		assert.ok(findGroup(owner, 'other').suspected);
		assert.ok(findGroup(owner, 'third').suspected);
	});

	it('guards against starting to count anew for a second task at fault in the same crash', () => {
		const owner = createSuspects([['culprit', 'second']]);
		giveUp(owner, 'culprit');
		assert.equal(findGroup(owner, 'second').crashedRuns.size, 1);
	});
});
