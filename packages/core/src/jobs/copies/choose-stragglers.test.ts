import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Candidate, chooseStragglers} from './choose-stragglers.js';

const straggler: Candidate = {
	id: 'a', observedMs: 600, remainingMs: 3000, freshMs: 500, cpuMillis: 2000,
};

const cases: ReadonlyArray<{guards: string; candidate: Partial<Candidate>; isChosen: boolean}> = [
	{guards: 'waiting for a straggler', candidate: {}, isChosen: true},
	{guards: 'a duplicate that would hardly end first', candidate: {remainingMs: 700}, isChosen: false},
	{guards: 'judging a run by its start-up', candidate: {observedMs: 200}, isChosen: false},
	{guards: 'exceeding the budget', candidate: {cpuMillis: 6000}, isChosen: false},
];

describe('chooseStragglers', () => {
	for (const {guards, candidate, isChosen} of cases) {
		it(`guards against ${guards}`, () => {
			assert.equal(chooseStragglers([{...straggler, ...candidate}], {budgetMillis: 5000}).length, isChosen ? 1 : 0);
		});
	}

	it('guards against spending the budget on the runs that gain least', () => {
		const chosen = chooseStragglers([{...straggler, id: 'less', remainingMs: 2000}, straggler, {...straggler, id: 'least', remainingMs: 1500}], {budgetMillis: 4000});
		assert.deepEqual(chosen.map(({id}) => id), ['a', 'less']);
	});
});
