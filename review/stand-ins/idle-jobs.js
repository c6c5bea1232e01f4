import {readFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';

const sampleMs = 100;

/** The rule LOST: a job may have nothing running for less than this time while one of its tasks could run. */
const idleLimitMs = 3000;

/**
 * Watches jobs as the rule LOST says: for 3 s on end, nothing of a job runs although the turn of one of its tasks has
 * come, there is capacity for it twice over, and less than half of the capacity of its service is in use. The tenants of
 * these cases have no `max_count`.
 *
 * @param fleet - the fleet
 * @param options - accepted jobs, the time to watch, and whether a worker may run tasks of these jobs
 * @returns the jobs for which the rule was broken
 */
export async function findIdleJobs(fleet, {jobs, watchMs, mayRun = () => true}) {
	const idleSince = new Map();
	const broken = new Map();
	const endAt = fleet.now + watchMs;
	while (fleet.now < endAt) {
		const done = readDoneTasks(fleet);
		for (const job of jobs) {
			if (couldRun(fleet, job, {done, mayRun})) {
				const since = idleSince.get(job.id) ?? fleet.now;
				idleSince.set(job.id, since);
				if (fleet.now - since >= idleLimitMs && !broken.has(job.id)) {
					broken.set(job.id, {
						rule: 'LOST', job: job.id, acceptedAt: job.acceptedAt, idleFrom: since, idleTo: fleet.now, doneTasks: [...done].filter(task => task.startsWith(`${job.id}.`)).length,
					});
				}
			} else {
				idleSince.delete(job.id);
			}
		}

		await delay(sampleMs);
	}

	return [...broken.values()];
}

function couldRun(fleet, job, {done, mayRun}) {
	if (fleet.listRunning(job).length > 0) {
		return false;
	}

	const workers = fleet.workers.filter(worker => worker.isAlive && mayRun(worker));
	const capacity = workers.reduce((sum, worker) => sum + worker.capacity.cpu, 0);
	const used = workers.reduce((sum, worker) => sum + worker.usedCpu, 0);
	if (used * 2 >= capacity) {
		return false;
	}

	return job.steps.some(({count, cpu, after = []}, step) => {
		const isDone = position => Array.from({length: job.steps[position].count}).every((_, index) => done.has(`${job.id}.0.${position}.${index}`));
		const room = workers.reduce((sum, worker) => sum + Math.floor((worker.capacity.cpu - worker.usedCpu) / cpu), 0);
		return count > 0 && !isDone(step) && after.every(earlier => isDone(earlier)) && room >= 2;
	});
}

/** Reads from the record which tasks have ended as done. */
function readDoneTasks(fleet) {
	const done = new Set();
	for (const line of readFileSync(path.join(fleet.folder, 'record.txt'), 'utf8').split('\n')) {
		if (line.includes('"how":"done"')) {
			done.add(JSON.parse(line).task);
		}
	}

	return done;
}
