import {addInstances} from './add-instances.js';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';
import {type LateLastingTask, observeLateLastingTasks} from './observe-late-lasting-tasks.js';

const trafficStartsAt = 1000;
const trafficEndsAt = 26_000;

/** Bounds of the times of faults; long-running tasks have been up for seconds by then. */
const firstFaultAt = 8000;
const lastFaultAt = 22_000;

/** Time by which a task that waits for the longest lease after the last fault would run. */
const endsAt = 50_000;

/** A fleet after its simulation, and the long-running tasks that did not run again in time. */
export type LossyFleet = {readonly fleet: FleetModel; readonly late: readonly LateLastingTask[]};

/**
 * Simulates long-running tasks beside short ones on workers that crash, a quarter of them for good, or fall silent, beside
 * changes of the owner, until all has been calm for long.
 *
 * @param seed - seed of all that is drawn
 * @param options - whether the platform lists the instances of the workers
 * @returns the fleet, and the long-running tasks that did not run again in time
 * @example
 * simulateLostWorkers(1).late;
 */
export function simulateLostWorkers(seed: number, {areInstancesListed = false}: {areInstancesListed?: boolean} = {}): LossyFleet {
	const workers = createWorkers(6 + (seed % 5));
	const fleet = new FleetModel({seed, configuration: createConfiguration(), ...(areInstancesListed ? addInstances(workers) : {workers})});
	fleet.takeOver();
	scheduleJobs(fleet);
	const faults = [...scheduleCrashes(fleet), ...scheduleSilences(fleet), ...scheduleChangesOfOwner(fleet)];
	const late = observeLateLastingTasks(fleet, {faults, from: trafficStartsAt, until: endsAt});
	fleet.runUntil(endsAt);
	return {fleet, late};
}

function scheduleJobs(fleet: FleetModel): void {
	for (let count = fleet.draw(2, 8), number = 1; number <= count; number++) {
		const acceptedAtMs = fleet.draw(trafficStartsAt, number <= 2 ? trafficStartsAt + 1000 : lastFaultAt);
		const isBesideShort = fleet.draw(1, 3) === 1;
		fleet.at(acceptedAtMs, () => {
			fleet.submit(createJob(`lasting${number}`, {
				acceptedAtMs, queue: 'watches', steps: [
					{
						count: 5, cpuMillis: 1000, memoryMb: 128, longRunning: true,
					},
					...(isBesideShort ? [{count: 3, cpuMillis: 1000, estimatedMs: 600}] : []),
				],
			}));
		});
	}

	const intervalMs = fleet.draw(150, 500);
	for (let at = trafficStartsAt, number = 1; at < trafficEndsAt; at += intervalMs, number++) {
		const step = {count: fleet.draw(1, 6), cpuMillis: 1000, estimatedMs: fleet.draw(200, 1500)};
		fleet.at(at, () => {
			fleet.submit(createJob(`short${number}`, {acceptedAtMs: at, steps: [step]}));
		});
	}
}

/** Crashes up to five workers, a quarter of them for good: the entry is removed at once, or lapses. */
function scheduleCrashes(fleet: FleetModel): number[] {
	const times: number[] = [];
	const ids = [...fleet.workers.keys()];
	for (let count = fleet.draw(0, 5); count > 0; count--) {
		const at = fleet.draw(firstFaultAt, lastFaultAt);
		const id = ids[fleet.draw(0, ids.length - 1)] ?? '';
		const kind = fleet.draw(1, 8);
		const downMs = fleet.draw(300, 4500);
		times.push(at);
		if (kind > 2) {
			times.push(at + downMs);
		}

		fleet.at(at, () => {
			if (kind <= 2) {
				fleet.loseWorker(id, {isEntryRemoved: kind === 1});
			} else {
				fleet.restartWorker(id, downMs);
			}
		});
	}

	return times;
}

function scheduleSilences(fleet: FleetModel): number[] {
	const times: number[] = [];
	const ids = [...fleet.workers.keys()];
	for (let count = fleet.draw(0, 3); count > 0; count--) {
		const at = fleet.draw(firstFaultAt, lastFaultAt);
		const id = ids[fleet.draw(0, ids.length - 1)] ?? '';
		const endsAt = at + fleet.draw(500, 6000);
		times.push(at, endsAt);
		fleet.at(at, () => {
			fleet.silentWorkers.add(id);
		});
		fleet.at(endsAt, () => {
			fleet.silentWorkers.delete(id);
		});
	}

	return times;
}

/** Ends the owner up to twice; the next one takes over soon after. */
function scheduleChangesOfOwner(fleet: FleetModel): number[] {
	const times: number[] = [];
	for (let count = fleet.draw(0, 2); count > 0; count--) {
		const at = fleet.draw(firstFaultAt, lastFaultAt + 1000);
		const takenOverAt = at + fleet.draw(300, 1500);
		times.push(at, takenOverAt);
		fleet.at(at, () => {
			fleet.killOwner();
		});
		fleet.at(takenOverAt, () => {
			fleet.killOwner();
			fleet.takeOver({areEndedListed: true});
		});
	}

	return times;
}
