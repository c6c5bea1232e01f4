// Prints the processor time of one decision on the order of 5,000 waiting jobs of 430 organisations: node scripts/measure-order.js
import process from 'node:process';
import {addJob} from '../packages/core/dist/jobs/state/add-job.js';
import {orderJobs} from '../packages/core/dist/jobs/order/order-jobs.js';
import {comparedOrders} from '../packages/testing/dist/jobs/compared-orders.js';
import {createConfiguration, createJob, createWorkers} from '../packages/testing/dist/jobs/create-fleet.js';
import {OrderSimulation} from '../packages/testing/dist/jobs/order-simulation.js';

const jobCount = 5000;
const organisationCount = 430;
const tickMs = 40;
const rounds = 100;

const organisations = Array.from({length: organisationCount}, (_, position) => ({name: `o${position}`, keys: [], weight: 1 + (position % 7)}));
const jobs = Array.from({length: jobCount}, (_, position) => ({
	job: createJob(`j${position}`, {
		organisation: `o${position % organisationCount}`,
		acceptedAtMs: position % 1000,
		steps: [{count: 1 + (position % 15), cpuMillis: 1500, estimatedMs: 300 + (position % 977)}, {
			count: 1 + (position % 7), cpuMillis: 1500, estimatedMs: 300 + (position % 499), after: [0],
		}],
	}),
	durationsMs: [],
	objectiveMs: 0,
}));

for (const [name, order] of [['previous', comparedOrders.previous], ['orderJobs', orderJobs]]) {
	const simulation = new OrderSimulation({
		configuration: createConfiguration({organisations}), workers: createWorkers(246), jobs, order,
	});
	const {scheduler} = simulation;
	for (const {job} of jobs) {
		addJob({
			scheduler, now: 1000, timeOfDay: 1000, effects: [],
		}, job);
	}

	const waiting = [...scheduler.jobs.values()];
	const before = process.cpuUsage();
	for (let round = 0; round < rounds; round++) {
		order(scheduler, waiting, 1000 + (round * tickMs));
	}

	const {user, system} = process.cpuUsage(before);
	console.log(`${name}: ${((user + system) / rounds / 1000).toFixed(2)} ms of processor time for each decision on ${jobCount} waiting jobs of ${organisationCount} organisations`);
}
