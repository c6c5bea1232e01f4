import {createConfiguration, createJob, createWorkers} from './create-fleet.js';
import {FleetModel} from './fleet-model.js';

/** Moment of a duplicate run at which the owner is killed. */
export type Moment = 'decision' | 'order' | 'answer' | 'end' | 'none';

/** Time after the decision to start a duplicate, or after the end of one of the two runs, at which the owner is killed, in milliseconds. Orders and answers take 1 to 4 ms each. */
const killDelays: Record<Moment, {readonly event: string; readonly delayMs: number}> = {
	decision: {event: 'duplicate-started', delayMs: 0},
	order: {event: 'duplicate-started', delayMs: 2},
	answer: {event: 'duplicate-started', delayMs: 5},
	end: {event: 'duplicate-ended', delayMs: 0},
	none: {event: '', delayMs: 0},
};

/** Time from the death of an owner to the next one: the expiry of its lease on the schedule. */
const takeoverMs = 400;

/** Queues that differ in the attempts that they allow; the policy of a queue overrides that of its jobs. */
const configuration = createConfiguration({
	queues: [1, 2, 3, 4].map(maximumAttempts => ({
		name: `attempts${maximumAttempts}`, host: 'jobs.example', pathPrefix: `/attempts${maximumAttempts}/`, service: 'planner', maximumAttempts, stretch: 1.6, targetLatencyMs: 600,
	})),
});

/** Most owners that are killed in one run. */
const maximumKills = 3;

/** Time after which no owner is killed, in milliseconds; most jobs have ended by then. */
const lastKillAt = 8000;

/**
 * Simulates a fleet under jobs of which a part allows duplicates, with stragglers, failing runs, lost answers, late
 * orders, crashes, cancellations, and owners that are killed at a moment of a duplicate run.
 *
 * @param seed - seed of all random numbers
 * @param moment - the moment
 * @returns the fleet after all jobs should have ended
 * @example
 * simulateDuplicates(1, 'order').checker.violations;
 */
export function simulateDuplicates(seed: number, moment: Moment): FleetModel {
	const workers = createWorkers(6);
	const fleet: FleetModel = new FleetModel({
		seed,
		configuration,
		workers,
		getBehaviour: (_task, _job, {run}) => ({
			durationMs: fleet.draw(1, 8) === 1 ? 3000 : fleet.draw(250, 500),
			fails: fleet.draw(1, 9) === 1,
			stalls: run % 2 === 1 && fleet.draw(1, 25) === 1,
		}),
	});
	fleet.takeOver();
	for (let count = 0; count < 16; count++) {
		fleet.at(100 + (count * 220), () => {
			fleet.submit(createJob(`j${count}`, {
				acceptedAtMs: fleet.now,
				queue: `attempts${1 + (count % 4)}`,
				maximumAttempts: 1 + (count % 4),
				steps: [{
					count: 3, cpuMillis: 2000, memoryMb: 100, estimatedMs: 400, allowDuplicates: count % 3 !== 0,
				}, {
					count: 2, cpuMillis: 2000, memoryMb: 100, estimatedMs: 400, after: [0], allowDuplicates: true,
				}],
			}));
		});
	}

	fleet.lostAnswersPerThousand = 20 * (seed % 3);
	fleet.lateOrdersPerThousand = 15 * (seed % 2);
	fleet.at(fleet.draw(1000, 3000), () => {
		fleet.cancel('j5');
	});
	if (seed % 4 === 0) {
		fleet.at(fleet.draw(1000, 3500), () => {
			fleet.restartWorker('w2', 700);
		});
	}

	if (seed % 4 === 1) {
		fleet.at(fleet.draw(1000, 3500), () => {
			fleet.silentWorkers.add('w3');
		});
		fleet.at(fleet.draw(4500, 9000), () => {
			fleet.silentWorkers.delete('w3');
		});
	}

	killOwnersAt(fleet, moment);
	fleet.runUntil(30_000);
	return fleet;
}

/** Kills the owner a number of times, each time at the given moment after the next event. */
function killOwnersAt(fleet: FleetModel, moment: Moment): void {
	const {event, delayMs} = killDelays[moment];
	const watch = (seen: number, kills: number): void => {
		const matching = fleet.log.filter(entry => entry.event === event).length;
		const isDue = matching > seen && fleet.owner?.isAlive;
		if (isDue) {
			killOwner(fleet, delayMs);
		}

		const killed = isDue ? kills + 1 : kills;
		if (killed < maximumKills && fleet.now < lastKillAt) {
			fleet.at(fleet.now + 1, () => {
				watch(isDue ? matching : seen, killed);
			});
		}
	};

	fleet.at(500, () => {
		watch(0, 0);
	});
}

function killOwner(fleet: FleetModel, delayMs: number): void {
	fleet.at(fleet.now + delayMs, () => {
		fleet.killOwner();
		if (fleet.draw(1, 2) === 1) {
			silenceWorker(fleet);
		}

		fleet.at(fleet.now + takeoverMs, () => {
			fleet.takeOver();
		});
	});
}

/** Silences the worker of the last duplicate for a time around the takeover, so that the next owner does not know of the run. */
function silenceWorker(fleet: FleetModel): void {
	const worker = String(fleet.log.findLast(({event}) => event === 'duplicate-started')?.fields.worker);
	fleet.silentWorkers.add(worker);
	fleet.at(fleet.now + fleet.draw(600, 6000), () => {
		fleet.silentWorkers.delete(worker);
	});
}
