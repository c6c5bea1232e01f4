import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';
import {type LateStart, observeStartableTasks} from './observe-startable-tasks.js';

const trafficStartsAt = 1000;
const trafficEndsAt = 20_000;

/** Time after the end of the traffic from which what can run is to start in time, in milliseconds, as the platform documents it. */
const finishMs = 14_000;

/** Time for which the fleet is observed after that, in milliseconds. */
const observedMs = 16_000;

/** Time after which a crashed worker is back, in milliseconds. */
const restartMs = 3300;

const spareCapacity = {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0};

/** What a drawn fleet has besides short jobs, losses of workers, silent workers and takeovers. */
export type Traits = {
	/** Jobs that crash every worker on which they start, up to a fifth of all. */
	readonly crashing?: boolean;
	/** An organisation with an upper limit, which may fall while the fleet runs. */
	readonly limits?: boolean;
	readonly longRunning?: boolean;
};

/** A fleet after its simulation, and what could have run and did not start in time. */
export type DrawnFleet = {readonly fleet: FleetModel; readonly late: readonly LateStart[]};

type Draw = {readonly fleet: FleetModel; readonly seed: number; readonly traits: Traits};

/**
 * Simulates a fleet of drawn size with drawn jobs, moves between pools, losses, silent workers and takeovers, until 30 s
 * after the end of the traffic.
 *
 * @param seed - seed of all that is drawn
 * @param traits - what the fleet has besides
 * @returns the fleet, and the tasks that did not start in time
 * @example
 * simulateDrawnFleet(1, {limits: true}).late;
 */
export function simulateDrawnFleet(seed: number, traits: Traits = {}): DrawnFleet {
	const {configuration, lowered} = createConfigurations(seed, traits);
	const fleet = createFleet(seed, configuration);
	fleet.takeOver();
	const draw = {fleet, seed, traits};
	scheduleJobs(draw);
	scheduleTakeovers(draw);
	scheduleLosses(draw);
	scheduleSilences(draw);
	let current = configuration;
	if (traits.limits && fleet.draw(1, 2) === 1) {
		fleet.at(fleet.draw(4000, 16_000), () => {
			current = lowered;
			fleet.configure(lowered);
		});
	}

	const from = trafficEndsAt + finishMs;
	const late = observeStartableTasks(fleet, {
		getConfiguration: () => current, from, until: from + observedMs, counts: task => !isCrashing(task),
	});
	fleet.runUntil(from + observedMs);
	return {fleet, late};
}

function createConfigurations(seed: number, {limits}: Traits): {configuration: Configuration; lowered: Configuration} {
	const create = (version: number, cpuMillis: number): Configuration => createConfiguration({
		version, organisations: [{name: 'north', keys: ['key-north']}, {name: 'south', keys: ['key-south'], limit: limits ? {cpuMillis} : {}}],
	});
	return {configuration: create(1, 6000 + (1000 * (seed % 20))), lowered: create(2, 2000 + (500 * (seed % 7)))};
}

/** The model draws only once it exists, so its size follows from the seed. */
function createFleet(seed: number, configuration: Configuration): FleetModel {
	const workers = createWorkers(4 + (seed % 9));
	const instances = workers.map(({instance, capacity, id}) => ({
		id: instance, pool: 'planner', availabilityZone: 'east', capacity, state: 'up' as const, worker: id,
	}));
	const spares = Array.from({length: (seed * 7) % 9}, (_, position) => ({
		id: `s${position + 1}`, pool: 'reserve', availabilityZone: 'east', capacity: spareCapacity, state: 'up' as const, worker: '',
	}));
	return new FleetModel({
		seed,
		configuration,
		workers,
		instances: [...instances, ...spares],
		getBehaviour: (task, _job, {run}) => ({crashesWorker: isCrashing(task), fails: task.startsWith('failing') && run === 1}),
	});
}

function isCrashing(task: string): boolean {
	return task.startsWith('crashing');
}

function scheduleJobs({fleet, traits}: Draw): void {
	const crashingPercent = traits.crashing ? fleet.draw(2, 20) : 0;
	const intervalMs = Math.round(1000 / fleet.draw(3, 8));
	for (let at = trafficStartsAt, number = 1; at < trafficEndsAt; at += intervalMs, number++) {
		fleet.at(at, () => {
			const kind = fleet.draw(1, 100) <= crashingPercent ? 'crashing' : (fleet.draw(1, 12) === 1 ? 'failing' : 'sound');
			fleet.submit(createDrawnJob(fleet, `${kind}${number}`, traits));
		});
	}
}

function createDrawnJob(fleet: FleetModel, id: string, {longRunning}: Traits): Job {
	const organisation = fleet.draw(1, 3) === 1 ? 'south' : 'north';
	const acceptedAtMs = fleet.now;
	const percentile = fleet.draw(1, 100);
	if (longRunning && percentile <= 6 && !isCrashing(id)) {
		return createJob(id, {
			organisation, acceptedAtMs, queue: 'watches', steps: [{
				count: fleet.draw(2, 6), cpuMillis: fleet.draw(500, 4000), longRunning: true, antiAffinity: fleet.draw(0, 2),
			}],
		});
	}

	const isLarge = percentile > 90;
	const isGang = percentile > 84 && !isLarge;
	return createJob(id, {
		organisation, acceptedAtMs, steps: [
			{
				count: isLarge ? 2 : fleet.draw(4, 9), cpuMillis: isLarge ? fleet.draw(6000, 14_000) : 1000, estimatedMs: 640, gang: isGang, antiAffinity: percentile > 70 && percentile <= 84 ? 2 : 0,
			},
			...(isGang || fleet.draw(1, 2) === 1
				? []
				: [{
					count: fleet.draw(2, 6), cpuMillis: 1000, estimatedMs: 640, after: [0],
				}]),
		],
	});
}

/** Kills the owner up to three times; the next one takes over once the lease on the schedule has expired. */
function scheduleTakeovers({fleet}: Draw): void {
	for (let count = fleet.draw(0, 3); count > 0; count--) {
		const at = fleet.draw(3000, trafficEndsAt - 1000);
		fleet.at(at, () => {
			fleet.killOwner();
		});
		fleet.at(at + fleet.draw(600, 1500), () => {
			fleet.killOwner();
			fleet.takeOver();
		});
	}
}

/** Ends workers, a third of them for good. */
function scheduleLosses({fleet}: Draw): void {
	for (let count = fleet.draw(0, 4); count > 0; count--) {
		fleet.at(fleet.draw(2000, 18_000), () => {
			const alive = [...fleet.workers.values()].filter(({isAlive}) => isAlive);
			const worker = alive[fleet.draw(0, alive.length)];
			if (worker === undefined || alive.length <= 2) {
				return;
			}

			if (fleet.draw(1, 3) === 1) {
				worker.crash(fleet.now);
			} else {
				fleet.restartWorker(worker.listing.id, restartMs);
			}
		});
	}
}

function scheduleSilences({fleet}: Draw): void {
	for (let count = fleet.draw(0, 3); count > 0; count--) {
		fleet.at(fleet.draw(2000, 16_000), () => {
			const ids = [...fleet.workers.keys()];
			const id = ids[fleet.draw(0, ids.length)] ?? '';
			fleet.silentWorkers.add(id);
			fleet.at(fleet.now + fleet.draw(500, 6000), () => {
				fleet.silentWorkers.delete(id);
			});
		});
	}
}
