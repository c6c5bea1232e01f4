import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addInstances} from './add-instances.js';
import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

const workerCount = 8;
const submittedAt = 2000;

/** Time at which the owner is killed; the tasks have been up for long. */
const killedAt = 20_000;

/** A long-running task has to run again 6 s after its last run, and is late 3 s after that if the last fault was 7 s ago. */
const lateAfterMs = 9000;
const calmMs = 7000;

/** Time after a takeover within which a task that has never been started has to start. */
const startWithinMs = 3000;

const step = {
	cpuMillis: 1000, memoryMb: 128, estimatedMs: 1000, longRunning: true,
} as const;

type Variant = {
	/** Number of workers that end for good, those with most long-running tasks first. */
	readonly lost?: number;
	/** Workers without any long-running task end instead. */
	readonly areIdle?: boolean;
	/** Time in milliseconds from the kill to the end of the workers. */
	readonly lostAfterKillMs: number;
	readonly isEntryRemoved?: boolean;
	readonly takenOverAfterMs?: number;
	/** The next owner is killed as well, this long after its takeover. */
	readonly secondKillAfterMs?: number;
	/** The former owner ends once all that it writes is stored. */
	readonly isHandover?: boolean;
	/** Upper limit of the organisation in millicores; its tasks use 20,000. */
	readonly limitCpuMillis?: number;
	/** Each job has short tasks beside the long-running ones. */
	readonly isBesideShort?: boolean;
	/** Time in milliseconds from the kill to the submission of another long-running job. */
	readonly submittedAfterKillMs?: number;
	/** Another worker crashes 0.5 s before the kill and is back at the kill. */
	readonly isOtherRestarted?: boolean;
};

const timings: ReadonlyArray<Pick<Variant, 'lostAfterKillMs' | 'takenOverAfterMs'>> = [-2000, -1000, -300, 0].flatMap(lostAfterKillMs => [300, 1500].map(takenOverAfterMs => ({lostAfterKillMs, takenOverAfterMs})));

const variants: Readonly<Record<string, Variant>> = {
	...Object.fromEntries([false, true].flatMap(isEntryRemoved => timings.map(timing => [
		`${-timing.lostAfterKillMs} ms before the kill, takeover after ${timing.takenOverAfterMs} ms, entry ${isEntryRemoved ? 'removed' : 'listed'}`, {...timing, isEntryRemoved},
	]))),
	'5 ms after the takeover': {lostAfterKillMs: 605},
	'5 ms after the takeover, entry removed': {lostAfterKillMs: 605, isEntryRemoved: true},
	'300 ms after the takeover': {lostAfterKillMs: 900},
	'300 ms after the takeover, entry removed': {lostAfterKillMs: 900, isEntryRemoved: true},
	'between the kill and the takeover': {lostAfterKillMs: 300},
	'two workers': {lost: 2, lostAfterKillMs: -1000},
	'two workers, entries removed': {lost: 2, lostAfterKillMs: -1000, isEntryRemoved: true},
	'1000 ms before a handover': {lostAfterKillMs: -1000, takenOverAfterMs: 300, isHandover: true},
	'1000 ms before a handover, entry removed': {
		lostAfterKillMs: -1000, takenOverAfterMs: 300, isHandover: true, isEntryRemoved: true,
	},
	'before two takeovers in a row': {lostAfterKillMs: -500, secondKillAfterMs: 1000},
	'before two takeovers in a row, entry removed': {lostAfterKillMs: -500, secondKillAfterMs: 1000, isEntryRemoved: true},
	'upper limit a little over twice the usage': {lostAfterKillMs: -1000, limitCpuMillis: 42_000},
	'upper limit close to the usage': {lostAfterKillMs: -1000, limitCpuMillis: 22_000},
	'short tasks beside long-running ones in the same job': {lostAfterKillMs: -1000, isBesideShort: true},
	'short tasks beside long-running ones in the same job, entry removed': {lostAfterKillMs: -1000, isBesideShort: true, isEntryRemoved: true},
	'a job submitted without an owner': {lostAfterKillMs: -1000, submittedAfterKillMs: 100},
	'a job submitted without an owner, entry removed': {lostAfterKillMs: -1000, submittedAfterKillMs: 100, isEntryRemoved: true},
	'a job submitted after the end of the worker': {lostAfterKillMs: -400, submittedAfterKillMs: -200},
	'a job submitted at the kill': {lostAfterKillMs: -1000, submittedAfterKillMs: -2},
	'a job submitted without an owner, while a worker without long-running tasks ends': {areIdle: true, lostAfterKillMs: -1000, submittedAfterKillMs: 100},
	'another worker restarts': {lostAfterKillMs: -1000, isOtherRestarted: true},
	'another worker restarts, entry removed': {lostAfterKillMs: -1000, isOtherRestarted: true, isEntryRemoved: true},
	'another worker restarts, while a worker without long-running tasks ends': {areIdle: true, lostAfterKillMs: -1000, isOtherRestarted: true},
};

type Played = {readonly fleet: FleetModel; readonly gone: readonly string[]; readonly lastFaultAt: number; readonly takenOverAt: number};

function createFleet(seed: number, variant: Variant, areInstancesListed: boolean): FleetModel {
	const {limitCpuMillis, areIdle = false, isBesideShort = false} = variant;
	const organisations = [{name: 'north', keys: ['key-north'], limit: limitCpuMillis === undefined ? {} : {cpuMillis: limitCpuMillis}}];
	// An idle worker is too small for long-running tasks, and holds leases for short ones.
	const workers = createWorkers(workerCount).map((worker, position) => areIdle && position === 0 ? {...worker, capacity: {...worker.capacity, cpuMillis: 500}} : worker);
	const fleet = new FleetModel({
		seed, configuration: createConfiguration({organisations, pools: [{name: 'planner'}]}), ...(areInstancesListed ? addInstances(workers) : {workers}),
	});
	fleet.takeOver();
	fleet.at(submittedAt, () => {
		for (let number = 0; number < 4; number++) {
			fleet.submit(createJob(`lasting${number}`, {
				acceptedAtMs: fleet.now, queue: 'watches', steps: [{...step, count: 5}, ...(isBesideShort ? [{count: 4, cpuMillis: 500, estimatedMs: 18_500}] : [])],
			}));
		}
	});
	if (areIdle) {
		for (let at = killedAt - 4000; at < killedAt; at += 40) {
			fleet.at(at, () => {
				fleet.submit(createJob(`short${at}`, {acceptedAtMs: at, steps: [{count: 2, cpuMillis: 250, estimatedMs: 300}]}));
			});
		}
	}

	return fleet;
}

/** Schedules the losses and the changes of the owner; `gone` is filled when the workers end. */
function play(fleet: FleetModel, variant: Variant): Played {
	const {lost = 1, areIdle = false, lostAfterKillMs, isEntryRemoved = false, takenOverAfterMs = 600, secondKillAfterMs} = variant;
	const {isHandover = false, submittedAfterKillMs, isOtherRestarted = false} = variant;
	const gone: string[] = [];
	fleet.at(killedAt + lostAfterKillMs, () => {
		const loads = [...fleet.workers.values()].map(({listing: {id}, running}) => ({id, count: running.filter(task => task.startsWith('lasting')).length}));
		const most = loads.toSorted((left, right) => right.count - left.count).slice(0, lost).map(({id}) => id);
		gone.push(...(areIdle ? loads.filter(({count}) => count === 0).map(({id}) => id) : most));
		assert.ok(gone.length >= lost, 'no worker to lose');
		for (const id of gone) {
			fleet.loseWorker(id, {isEntryRemoved});
		}
	});
	if (isOtherRestarted) {
		fleet.at(killedAt - 500, () => {
			const other = [...fleet.workers.values()].find(({listing: {id}, running}) => !gone.includes(id) && running.some(task => task.startsWith('lasting')));
			assert.ok(other);
			fleet.restartWorker(other.listing.id, 500);
		});
	}

	if (submittedAfterKillMs !== undefined) {
		fleet.at(killedAt + submittedAfterKillMs, () => {
			fleet.submit(createJob('new', {acceptedAtMs: fleet.now, queue: 'watches', steps: [{...step, count: 5}]}));
		});
	}

	const kill = (): void => {
		const {owner} = fleet;
		if (isHandover && (owner?.scheduler.commit !== undefined || owner?.scheduler.holdersDirty)) {
			fleet.at(fleet.now + 1, kill);
			return;
		}

		fleet.killOwner();
	};

	fleet.at(killedAt, kill);
	let takenOverAt = killedAt + takenOverAfterMs;
	let lastKillAt = killedAt;
	const takeOver = (): void => {
		fleet.killOwner();
		fleet.takeOver({areEndedListed: true});
	};

	fleet.at(takenOverAt, takeOver);
	if (secondKillAfterMs !== undefined) {
		lastKillAt = takenOverAt + secondKillAfterMs;
		takenOverAt = lastKillAt + takenOverAfterMs;
		fleet.at(lastKillAt, () => {
			fleet.killOwner();
		});
		fleet.at(takenOverAt, takeOver);
	}

	return {
		fleet, gone, lastFaultAt: Math.max(lastKillAt, killedAt + lostAfterKillMs), takenOverAt,
	};
}

function listTasks(job: string): string[] {
	return Array.from({length: 5}, (_, index) => `${job}.0.0.${index}`);
}

/** Plays the losses and the changes of the owner; all tasks have to run again in time, and those that were not near a lost worker run on. */
function checkStarts(variant: Variant, areInstancesListed: boolean): void {
	for (let seed = 1; seed <= 3; seed++) {
		const fleet = createFleet(seed, variant, areInstancesListed);
		const {gone, lastFaultAt, takenOverAt} = play(fleet, variant);
		const {lostAfterKillMs, submittedAfterKillMs, isOtherRestarted = false} = variant;
		const tasks = ['lasting0', 'lasting1', 'lasting2', 'lasting3'].flatMap(job => listTasks(job));
		const firstLossAt = killedAt + Math.min(lostAfterKillMs, isOtherRestarted ? -500 : 0);
		fleet.runUntil(firstLossAt - 1);
		assert.deepEqual(tasks.filter(task => !fleet.checker.isRunning(task)), [], `before the loss, seed ${seed}`);
		const workers = new Map([...fleet.workers.values()].flatMap(({listing, running}) => running.map(task => [task, listing.id])));
		const starts = new Map(fleet.checker.startCounts);

		// The last run of a task ends with its worker, before the last fault or at it.
		const late: string[] = [];
		if (submittedAfterKillMs !== undefined) {
			// Tasks that may have been sent to a worker have the time of those that ran.
			const isNever = submittedAfterKillMs > 0;
			fleet.runUntil(isNever ? takenOverAt + startWithinMs : Math.max(killedAt + submittedAfterKillMs + lateAfterMs, lastFaultAt + calmMs));
			late.push(...listTasks('new').filter(task => !fleet.checker.isRunning(task)));
		}

		fleet.runUntil(Math.max(firstLossAt + lateAfterMs, lastFaultAt + calmMs, fleet.now));
		late.push(...tasks.filter(task => !fleet.checker.isRunning(task)));
		assert.deepEqual(late, [], `seed ${seed}`);
		fleet.runUntil(killedAt + 25_000);
		const near = new Set(tasks.filter(task => gone.includes(workers.get(task) ?? '')));
		if (!isOtherRestarted) {
			assert.deepEqual(tasks.filter(task => !near.has(task) && fleet.checker.startCounts.get(task) !== starts.get(task)), [], `interrupted, seed ${seed}`);
		}

		assert.deepEqual(tasks.filter(task => !fleet.checker.isRunning(task)), [], `at the end, seed ${seed}`);
		assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
	}
}

/** Submits a job about the time at which a worker ends for good, without a change of the owner. */
function checkSubmission({isEntryRemoved, submittedAfterMs, areInstancesListed}: {isEntryRemoved: boolean; submittedAfterMs: number; areInstancesListed: boolean}): void {
	for (let seed = 1; seed <= 3; seed++) {
		const lostAt = killedAt;
		const fleet = createFleet(seed, {lostAfterKillMs: 0}, areInstancesListed);
		fleet.at(lostAt, () => {
			fleet.loseWorker('w1', {isEntryRemoved});
		});
		fleet.at(lostAt + submittedAfterMs, () => {
			fleet.submit(createJob('new', {acceptedAtMs: fleet.now, queue: 'watches', steps: [{...step, count: 16}]}));
		});
		fleet.runUntil(lostAt + Math.max(0, submittedAfterMs) + lateAfterMs);
		const tasks = ['lasting0', 'lasting1', 'lasting2', 'lasting3'].flatMap(job => listTasks(job));
		tasks.push(...Array.from({length: 16}, (_, index) => `new.0.0.${index}`));
		assert.deepEqual(tasks.filter(task => !fleet.checker.isRunning(task)), [], `seed ${seed}`);
		assert.deepEqual(fleet.checker.violations, [], `seed ${seed}`);
	}
}

for (const areInstancesListed of [true, false]) {
	describe(`long-running tasks beside a worker that ends for good around a change of the owner, instances ${areInstancesListed ? 'listed' : 'not listed'}`, () => {
		for (const [name, variant] of Object.entries(variants)) {
			it(`guards against tasks that wait although there is room: ${name}`, () => {
				checkStarts(variant, areInstancesListed);
			});
		}
	});

	describe(`long-running tasks that are submitted when a worker has just ended for good, instances ${areInstancesListed ? 'listed' : 'not listed'}`, () => {
		for (const isEntryRemoved of [false, true]) {
			for (const submittedAfterMs of [-3, 0, 20, 300, 1000]) {
				it(`guards against start orders to a worker that has ended, for which tasks wait: submitted ${submittedAfterMs} ms after the end, entry ${isEntryRemoved ? 'removed' : 'listed'}`, () => {
					checkSubmission({isEntryRemoved, submittedAfterMs, areInstancesListed});
				});
			}
		}
	});
}
