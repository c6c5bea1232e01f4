import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {
	burstEndMs, burstStartMs, type OverloadResult, simulateOverload, usefulMultiple,
} from './simulate-overload.js';

/** Useful jobs that admission may cost beside accepting everything, over all loads; the order of a run changes a few with each additional event. */
const usefulTolerance = 0.05;

/** Time in milliseconds after a change until which a record of the state before may be in force: one interval of publication, and two transmissions. */
const publicationMs = 1200;

const loads = [
	{overload: 2, urgentFraction: 0.5, estimateError: 1},
	{overload: 5, urgentFraction: 0.5, estimateError: 1},
	{overload: 5, urgentFraction: 0.5, estimateError: 2.5},
	{overload: 5, urgentFraction: 0, estimateError: 2.5},
];

const fivefold = {seed: 1, overload: 5, urgentFraction: 0.5} as const;

function report(t: TestContext, name: string, {submissions, onTime, late, useless, neverAccepted, refusals, backlog}: OverloadResult): void {
	t.diagnostic(`${name}: ${submissions.length} jobs, ${onTime} on time, ${late} late, ${useless} useless, ${neverAccepted} never accepted after ${refusals.length} refusals, backlog ${backlog}`);
}

/** Lists the jobs that were never accepted, and of use in a run that accepted them. */
function listWronglyRefused(admission: OverloadResult, everything: OverloadResult): string[] {
	const wrong: string[] = [];
	for (const {job, acceptedAt, firstAt, objectiveMs} of admission.submissions) {
		const endedAt = everything.fleet.storedJobs.get(job.id)?.end?.endedAtMs ?? Number.POSITIVE_INFINITY;
		if (acceptedAt === undefined && endedAt <= firstAt + (usefulMultiple * objectiveMs)) {
			wrong.push(job.id);
		}
	}

	return wrong;
}

describe('admission under overload for ten seconds, half of it urgent', () => {
	it('guards against serving fewer jobs than by accepting everything, and against refusing jobs that can be served', t => {
		const useful = {everything: 0, admission: 0};
		for (const load of loads) {
			const everything = simulateOverload({...load, seed: 1, isAdmissionUsed: false});
			const admission = simulateOverload({...load, seed: 1, isAdmissionUsed: true});
			const name = `${load.overload}-fold, urgent ${load.urgentFraction}, estimates within a factor of ${load.estimateError}`;
			report(t, `${name}, accepting everything`, everything);
			report(t, `${name}, admission`, admission);
			useful.everything += everything.onTime + everything.late;
			useful.admission += admission.onTime + admission.late;
			assert.deepEqual(listWronglyRefused(admission, everything), []);
			assert.deepEqual(admission.refusals.filter(({hadRoom}) => hadRoom), []);
			assert.deepEqual(admission.fleet.checker.violations, []);
			assert.ok(admission.backlog <= everything.backlog);
			assert.deepEqual(admission.fleet.admissionRecord.queues, []);
		}

		assert.ok(useful.admission >= useful.everything * (1 - usefulTolerance));
	});

	it('guards against writes and refusals while the capacity suffices', () => {
		const {refusals, fleet} = simulateOverload({
			seed: 2, overload: 0.4, urgentFraction: 0.5, isAdmissionUsed: true,
		});
		assert.deepEqual(refusals, []);
		assert.equal(fleet.admissionWrites, 0);
	});

	it('refuses only the organisation beyond its share as such', t => {
		const {refusals} = simulateOverload({
			...fivefold, seed: 3, isAdmissionUsed: true, hotFraction: 0.9,
		});
		const beyondShare = refusals.filter(({reason}) => reason === 'over-share');
		t.diagnostic(`${beyondShare.length} of ${refusals.length} refusals over share`);
		assert.ok(beyondShare.length > 0);
		assert.ok(beyondShare.every(({organisation}) => organisation === 'south'));
	});

	it('decides refused callers that return all at once like new ones', t => {
		const returnAllAt = burstEndMs + 500;
		const everything = simulateOverload({...fivefold, isAdmissionUsed: false});
		const admission = simulateOverload({...fivefold, isAdmissionUsed: true, returnAllAt});
		report(t, 'all return', admission);
		const returned = admission.submissions.filter(({acceptedAt}) => acceptedAt === returnAllAt).length + admission.refusals.filter(({at}) => at === returnAllAt).length;
		t.diagnostic(`${returned} returned at once`);
		assert.ok(returned > 0);
		assert.deepEqual(listWronglyRefused(admission, everything), []);
		assert.ok(admission.onTime + admission.late >= (everything.onTime + everything.late) * (1 - usefulTolerance));
		assert.deepEqual(admission.fleet.checker.violations, []);
	});
});

describe('admission with one failure under overload', () => {
	const failedAt = burstStartMs + 7000;

	it('guards against refusals by the record of an owner that was killed', t => {
		const tookOverAt = failedAt + 1500;
		const result = simulateOverload({
			...fivefold, isAdmissionUsed: true, prepare(fleet) {
				fleet.at(failedAt, () => {
					fleet.killOwner();
				});
				fleet.at(tookOverAt, () => {
					fleet.takeOver();
				});
			},
		});
		report(t, 'owner killed', result);
		const {refusals, fleet} = result;
		assert.ok(refusals.some(({at}) => at < failedAt));
		assert.deepEqual(refusals.filter(({at, term}) => at > tookOverAt && (term === 1 || at < tookOverAt + 3000)), []);
		assert.deepEqual(fleet.checker.violations, []);
	});

	it('guards against refusals, and jobs without progress, after a power loss of all instances with an owner that gets little processor time', t => {
		const tookOverAt = failedAt + 1500;
		const slowUntil = tookOverAt + 20_000;
		let doneBefore = 0;
		let doneWhileSlow = 0;
		const result = simulateOverload({
			...fivefold, isAdmissionUsed: true, prepare(fleet) {
				const countEnded = (): number => [...fleet.storedJobs.values()].filter(({end}) => end !== undefined).length;
				fleet.at(failedAt, () => {
					fleet.killOwner();
				});
				fleet.at(tookOverAt, () => {
					fleet.takeOver();
					doneBefore = countEnded();
				});
				// The owner runs for 100 ms and pauses for 300 ms.
				for (let at = tookOverAt + 100; at < slowUntil; at += 400) {
					fleet.at(at, () => {
						fleet.pauseOwner(300);
					});
				}

				fleet.at(slowUntil, () => {
					doneWhileSlow = countEnded() - doneBefore;
				});
			},
		});
		report(t, 'power loss, slow owner', result);
		t.diagnostic(`${doneWhileSlow} jobs ended while the owner was slow, ${result.fleet.admissionWrites} writes of the record`);
		assert.deepEqual(result.refusals.filter(({at}) => at > tookOverAt && at < slowUntil), []);
		assert.ok(doneWhileSlow > 0);
		assert.deepEqual(result.fleet.checker.violations, []);
	});

	const changes: ReadonlyArray<{fault: string; change: (fleet: OverloadResult['fleet']) => void}> = [
		{
			fault: 'after the urgent jobs that wait were cancelled', change(fleet) {
				for (const [id, {job, end}] of fleet.storedJobs) {
					if (end === undefined && job.priority === 0) {
						fleet.cancel(id);
					}
				}
			},
		},
		{
			fault: 'after the priorities became equal', change(fleet) {
				const configuration = fleet.owner?.scheduler.configuration;
				assert.ok(configuration !== undefined);
				fleet.configure({...configuration, version: 2, queues: configuration.queues.map(queue => ({...queue, priority: 0}))});
			},
		},
	];
	for (const {fault, change} of changes) {
		it(`guards against refusals ${fault}`, t => {
			const result = simulateOverload({
				...fivefold, isAdmissionUsed: true, prepare(fleet) {
					fleet.at(failedAt, () => {
						change(fleet);
					});
				},
			});
			report(t, fault, result);
			assert.ok(result.refusals.some(({at}) => at < failedAt));
			assert.deepEqual(result.refusals.filter(({at}) => at > failedAt + publicationMs && at < failedAt + publicationMs + 1500), []);
			assert.deepEqual(result.fleet.checker.violations, []);
		});
	}

	it('guards against an organisation that counts as beyond its share after its weight was raised', t => {
		const hot = {
			...fivefold, seed: 3, isAdmissionUsed: true, hotFraction: 0.9,
		};
		const result = simulateOverload({
			...hot, prepare(fleet) {
				fleet.at(failedAt, () => {
					const configuration = fleet.owner?.scheduler.configuration;
					assert.ok(configuration !== undefined);
					fleet.configure({...configuration, version: 2, organisations: configuration.organisations.map(organisation => ({...organisation, weight: organisation.name === 'south' ? 1000 : 1}))});
				});
			},
		});
		report(t, 'weight raised', result);
		assert.ok(result.refusals.some(({at, reason}) => at < failedAt && reason === 'over-share'));
		assert.deepEqual(result.refusals.filter(({at, reason}) => at > failedAt + publicationMs && reason === 'over-share'), []);
		assert.deepEqual(result.fleet.checker.violations, []);
	});
});
