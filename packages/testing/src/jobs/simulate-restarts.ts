import {slowestClockRate} from '@rosemaryquay/core/jobs/state/constants';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const trafficStartsAt = 1000;
const trafficEndsAt = 36_000;

/** Bounds of the times at which workers crash; leases of the earlier life exceed the longest one on the next clock. */
const firstCrashAt = 12_000;
const lastCrashAt = 32_000;

/** Time by which all faults are over, and time by which all jobs have ended. */
const faultsEndAt = 60_000;
const endsAt = 140_000;

/** Which faults are drawn besides restarts with calls that wait, cuts soon afterwards and long tasks; all of them by default. */
export type RestartFaults = {
	/** Changes of the owner around the restarts. */
	readonly kills?: boolean;
	/** Restarted workers whose answers are lost. */
	readonly lostAnswers?: boolean;
	/** Restarted workers that the store lists late, or not before they are cut off. */
	readonly lateListings?: boolean;
	/** Calls to a worker that are seconds under way when it crashes. */
	readonly lateCalls?: boolean;
};

/**
 * Simulates workers that restart under their ids and are cut off soon after, while long tasks run and owners change.
 *
 * @param seed - seed of all that is drawn
 * @param faults - faults that are drawn besides
 * @returns the fleet after its end, without unfinished jobs if all went well
 * @example
 * simulateRestarts(1, {lateCalls: false}).checker.violations;
 */
export function simulateRestarts(seed: number, faults: RestartFaults = {}): FleetModel {
	const fleet = new FleetModel({seed, configuration: createConfiguration(), workers: createWorkers(4 + (seed % 5))});
	for (const worker of fleet.workers.values()) {
		worker.clockRate = fleet.draw(1, 2) === 1 ? slowestClockRate : 1;
	}

	fleet.takeOver();
	scheduleJobs(fleet);
	for (let count = fleet.draw(3, 6); count > 0; count--) {
		scheduleRestart(fleet, faults);
	}

	fleet.at(faultsEndAt, () => {
		fleet.silentWorkers.clear();
		fleet.unheardWorkers.clear();
		fleet.unlistedWorkers.clear();
		fleet.callDelaysMs.clear();
	});
	fleet.runUntil(endsAt);
	return fleet;
}

function scheduleJobs(fleet: FleetModel): void {
	const intervalMs = fleet.draw(100, 400);
	for (let at = trafficStartsAt, number = 1; at < trafficEndsAt; at += intervalMs, number++) {
		const isLong = fleet.draw(1, 4) === 1;
		const step = isLong
			? {count: fleet.draw(1, 4), cpuMillis: 1000, estimatedMs: fleet.draw(8000, 15_000)}
			: {count: fleet.draw(1, 6), cpuMillis: 1000, estimatedMs: fleet.draw(100, 900)};
		fleet.at(at, () => {
			fleet.submit(createJob(`j${number}`, {acceptedAtMs: at, steps: [step]}));
		});
	}
}

/** Lets one worker, or half of them, restart; cuts follow, most of them around a change of the owner if there is one. */
function scheduleRestart(fleet: FleetModel, faults: RestartFaults): void {
	const {kills = true, lostAnswers = true, lateListings = true, lateCalls = true} = faults;
	const crashAt = fleet.draw(firstCrashAt, lastCrashAt);
	const downMs = fleet.draw(1, 4) === 1 ? fleet.draw(2000, 6000) : fleet.draw(50, 1200);
	const ids = [...fleet.workers.keys()];
	const killedAt = crashAt + downMs + fleet.draw(-600, 2500);
	const isOwnerChanged = kills && fleet.draw(1, 4) > 1;
	const count = fleet.draw(1, 2) === 1 ? 1 : Math.floor(ids.length / 2);
	const first = fleet.draw(0, ids.length - 1);
	for (let position = 0; position < count; position++) {
		const id = ids[(first + position) % ids.length] ?? '';
		if (lateCalls && fleet.draw(1, 3) === 1) {
			scheduleLateCalls(fleet, id, {from: crashAt - fleet.draw(50, 700), until: crashAt});
		}

		fleet.at(crashAt, () => {
			fleet.restartWorker(id, downMs);
		});
		if (lostAnswers && fleet.draw(1, 3) === 1) {
			mark(fleet, fleet.unheardWorkers, {id, from: crashAt, durationMs: downMs + fleet.draw(500, 4000)});
		}

		if (lateListings && fleet.draw(1, 2) === 1) {
			mark(fleet, fleet.unlistedWorkers, {id, from: crashAt, durationMs: downMs + fleet.draw(500, 12_000)});
		}

		if (fleet.draw(1, 6) > 1) {
			const cutAt = isOwnerChanged ? killedAt + fleet.draw(-200, 1500) : crashAt + downMs + fleet.draw(50, 3000);
			mark(fleet, fleet.silentWorkers, {id, from: cutAt, durationMs: fleet.draw(3000, 16_000)});
		}
	}

	if (isOwnerChanged) {
		scheduleTakeovers(fleet, killedAt);
	}
}

function scheduleLateCalls(fleet: FleetModel, id: string, {from, until}: {from: number; until: number}): void {
	const delayMs = fleet.draw(2000, 12_000);
	fleet.at(from, () => {
		fleet.callDelaysMs.set(id, delayMs);
	});
	fleet.at(until, () => {
		fleet.callDelaysMs.delete(id);
	});
}

function mark(fleet: FleetModel, workers: Set<string>, {id, from, durationMs}: {id: string; from: number; durationMs: number}): void {
	fleet.at(from, () => {
		workers.add(id);
	});
	fleet.at(from + durationMs, () => {
		workers.delete(id);
	});
}

/** Kills the owner once or twice; the next one takes over once the lease on the schedule has expired, or seconds later. */
function scheduleTakeovers(fleet: FleetModel, killedAt: number): void {
	let at = killedAt;
	for (let count = fleet.draw(1, 2); count > 0; count--) {
		fleet.at(at, () => {
			fleet.killOwner();
		});
		at += fleet.draw(1, 4) === 1 ? fleet.draw(2000, 6000) : fleet.draw(600, 1500);
		fleet.at(at, () => {
			fleet.killOwner();
			fleet.takeOver();
		});
		at += fleet.draw(200, 3000);
	}
}
