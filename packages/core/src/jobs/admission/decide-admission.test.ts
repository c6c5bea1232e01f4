import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {type Job, jobSchema} from '../state/job-schema.js';
import {type AdmissionRecord, type OrganisationWait} from './admission-record.js';
import {decideAdmission} from './decide-admission.js';

/** A job of 8 tasks of 1 s on 1.5 cores. Its objective is 2.2 s; if it takes 2.5 s, that is 4.6 s, and it is of use if it starts within 11.3 s. */
function createJob(changes: Partial<Job> = {}): Job {
	return {
		...jobSchema.parse({
			id: 'a', queue: 'plans', service: 'planner', organisation: 'north', acceptedAtMs: 0, stretch: 1.6, targetLatencyMs: 600, steps: [{count: 8, cpuMillis: 1500, estimatedMs: 1000}],
		}), ...changes,
	};
}

const latestStartMs = 11_300;
const hopeless: OrganisationWait = {name: 'north', waitMs: 60_000, isBeyondShare: false};

function createRecord(changes: {wait?: Partial<OrganisationWait>; freeCpuMillis?: number} = {}): AdmissionRecord {
	const {wait, freeCpuMillis = 0} = changes;
	return {
		publishedAtMs: 0, term: 1, queues: [{
			name: 'plans', freeCpuMillis, capacityCpuMillis: 100_000, organisations: [{...hopeless, ...wait}],
		}],
	};
}

const longRunningStep = jobSchema.shape.steps.element.parse({count: 1, longRunning: true});

describe('decideAdmission', () => {
	const admitted: ReadonlyArray<{fault: string; record: AdmissionRecord | undefined; job?: Partial<Job>}> = [
		{fault: 'there is no record', record: undefined},
		{fault: 'the record does not name the queue', record: createRecord(), job: {queue: 'watches'}},
		{fault: 'the queue has the name of a property of all objects', record: createRecord(), job: {queue: 'constructor'}},
		{fault: 'the record does not name the organisation', record: createRecord(), job: {organisation: 'south'}},
		{fault: 'the job can just be of use if its estimate is off', record: createRecord({wait: {waitMs: latestStartMs}})},
		{fault: 'a worker has room for a task', record: createRecord({freeCpuMillis: 1500})},
		{fault: 'the job runs until it is cancelled', record: createRecord(), job: {steps: [longRunningStep]}},
		{fault: 'the job is scheduled', record: createRecord(), job: {repeatCount: 3}},
		{fault: 'the queue has no objective', record: createRecord(), job: {stretch: 0, targetLatencyMs: 0}},
	];
	for (const {fault, record, job} of admitted) {
		it(`guards against a refusal although ${fault}`, () => {
			assert.deepEqual(decideAdmission(record, createJob(job)), {type: 'admit'});
		});
	}

	it('guards against holding a job that is certainly of no use when it is done', () => {
		assert.deepEqual(decideAdmission(createRecord({wait: {waitMs: latestStartMs + 1}}), createJob()), {
			type: 'refuse', reason: 'no-room', waitMs: 11_301, roomInMs: 10_101, serviceMs: 120,
		});
	});

	it('tells an organisation that uses more than its share', () => {
		const decision = decideAdmission(createRecord({wait: {isBeyondShare: true}}), createJob());
		assert.equal(decision.type === 'refuse' && decision.reason, 'over-share');
	});
});
