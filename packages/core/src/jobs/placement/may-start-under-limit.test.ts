import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestOwner} from '../create-test-owner.js';

const limit = 10_000;

const south = {organisation: 'south'};

type Case = {
	readonly name: string;
	/** Cores of a long-running task that runs throughout, and of the tasks of the job that waits, in thousandths. */
	readonly used: number;
	readonly need: number;
	readonly step?: {readonly count?: number; readonly gang?: boolean; readonly longRunning?: boolean};
	readonly started: number;
};

const cases: readonly Case[] = [
	{
		name: 'a task beside a long-running one that uses less than half', used: 4900, need: 6000, started: 1,
	},
	{
		name: 'a long-running task beside another one', used: 4900, need: 6000, step: {longRunning: true}, started: 1,
	},
	{
		name: 'a task that needs all', used: 500, need: limit, started: 1,
	},
	{
		name: 'a task that needs more than all, alone', used: 0, need: 12_000, started: 1,
	},
	{
		name: 'one of several tasks that need more than all', used: 0, need: 12_000, step: {count: 3}, started: 1,
	},
	{
		name: 'no task while half is in use', used: 5000, need: 6000, started: 0,
	},
	{
		name: 'no gang that exceeds the limit', used: 0, need: 6000, step: {count: 2, gang: true}, started: 0,
	},
];

describe('start of a task that would exceed the upper limit of its organisation', () => {
	for (const {name, used, need, step, started} of cases) {
		it(`guards against a wait without an end, and against more than one task above the limit: ${name}`, () => {
			const owner = createTestOwner({workers: [{}, {}, {}, {}]});
			if (used > 0) {
				owner.submit('b', {cpuMillis: used, longRunning: true}, south);
			}

			owner.advance(100);
			owner.submit('a', {cpuMillis: need, ...step}, south);
			owner.advance(3000);
			assert.equal(owner.listWorkersOf('a').length, started);
		});
	}

	it('guards against jobs of the organisation that wait behind those that cannot start', () => {
		const owner = createTestOwner({workers: [{}, {}, {}, {}]});
		owner.submit('b', {cpuMillis: 3000, longRunning: true}, south);
		for (let count = 0; count < 13; count++) {
			owner.submit(`gang${count}`, {cpuMillis: 4000, count: 2, gang: true}, south);
		}

		owner.advance(100);
		owner.submit('a', {}, south);
		owner.advance(100);
		assert.equal(owner.listWorkersOf('a').length, 1);
	});

	it('guards against an open order that is carried out after the task above the limit, as a second one above it', () => {
		const owner = createTestOwner({workers: [{}, {}, {}, {}], answersStarts: false});
		owner.submit('b', {cpuMillis: 4000}, south);
		owner.tick(50);
		owner.submit('a', {cpuMillis: 8000}, south);
		for (let count = 0; count < 60; count++) {
			owner.tick(50);
		}

		assert.equal(owner.listWorkersOf('a').length, 0);
		owner.answerStart({task: 'b.0.0.0', worker: owner.listWorkersOf('b')[0] ?? ''});
		owner.tick(50);
		assert.equal(owner.listWorkersOf('a').length, 1);
	});
});
