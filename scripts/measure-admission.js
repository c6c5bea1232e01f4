// Prints the processor time of one measurement of the admission with 1,000 and 5,000 waiting jobs of 430 organisations: node scripts/measure-admission.js
import process from 'node:process';
import {measureAdmission} from '../packages/core/dist/jobs/admission/measure-admission.js';
import {orderJobs} from '../packages/core/dist/jobs/order/order-jobs.js';
import {addJob} from '../packages/core/dist/jobs/state/add-job.js';
import {createScheduler} from '../packages/core/dist/jobs/state/create-scheduler.js';
import {createWorker} from '../packages/core/dist/jobs/state/create-worker.js';
import {createConfiguration, createJob, createWorkers} from '../packages/testing/dist/jobs/create-fleet.js';

const organisationCount = 430;
const rounds = 200;
const now = 5000;

const organisations = Array.from({length: organisationCount}, (_, position) => ({name: `o${position}`, keys: [], weight: 1 + (position % 7)}));
const {queues} = createConfiguration();
const configuration = createConfiguration({organisations, queues: queues.map((queue, position) => ({...queue, priority: 1 - position}))});

for (const jobCount of [1000, 5000]) {
	const scheduler = createScheduler({term: 1, now: 0, configuration});
	scheduler.instanceListRequestedAt = now;
	for (const listing of createWorkers(246)) {
		const worker = createWorker({...listing, now: 0});
		worker.listing = listing;
		worker.acknowledgedOwner = true;
		worker.recordedAsHolder = true;
		worker.used = listing.capacity;
		scheduler.workers.set(worker.id, worker);
		scheduler.instances.set(listing.instance, {
			id: listing.instance, pool: listing.service, state: 'up', availabilityZone: listing.availabilityZone, capacity: listing.capacity, worker: listing.id,
		});
	}

	for (let position = 0; position < jobCount; position++) {
		const isUrgent = position % 2 === 0;
		addJob({
			scheduler, now, timeOfDay: now, effects: [],
		}, createJob(`j${position}`, {
			queue: isUrgent ? 'watches' : 'plans',
			organisation: `o${position % organisationCount}`,
			acceptedAtMs: position % 1000,
			steps: [{count: 1 + (position % 15), cpuMillis: 1500, estimatedMs: (isUrgent ? 20_000 : 300) + (position % 977)}],
		}));
	}

	orderJobs(scheduler, [...scheduler.jobs.values()], now);
	const context = {
		scheduler, now, timeOfDay: now, effects: [],
	};
	const measured = measureAdmission(context);
	const before = process.cpuUsage();
	for (let round = 0; round < rounds; round++) {
		measureAdmission(context);
	}

	const {user, system} = process.cpuUsage(before);
	console.log(`${jobCount} waiting jobs of ${organisationCount} organisations: ${((user + system) / rounds / 1000).toFixed(2)} ms of processor time for each measurement, ${measured.flatMap(queue => queue.organisations).length} organisations in a record of ${JSON.stringify(measured).length} bytes`);
}
