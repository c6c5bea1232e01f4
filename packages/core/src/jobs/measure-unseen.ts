import {addResources} from './add-resources.js';
import {type Resources} from './configuration-schema.js';
import {isTurn} from './is-turn.js';
import {measureNeed} from './measure-need.js';
import {type ActiveJob, type Scheduler} from './scheduler.js';

const nothing: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/**
 * Measures what each organisation may have running unseen: tasks of a former owner on workers that have not answered
 * yet. It is no more than these tasks need, and no more than those workers hold.
 *
 * @param scheduler - the state
 * @param now - local time in milliseconds
 * @param isUnresolved - tells whether tasks of a job may run on a worker that has not answered
 * @returns resources by organisation
 * @example
 * measureUnseen(scheduler, now, job => job.recovered);
 */
export function measureUnseen(scheduler: Scheduler, now: number, isUnresolved: (job: ActiveJob) => boolean): Map<string, Resources> {
	const unseen = new Map<string, Resources>();
	const room = measureRoom(scheduler, now);
	for (const job of scheduler.jobs.values()) {
		if (!job.recovered || !isUnresolved(job)) {
			continue;
		}

		const {organisation} = job.job;
		const total = addResources(unseen.get(organisation) ?? nothing, measureIdle(job));
		unseen.set(organisation, {
			cpuMillis: Math.min(total.cpuMillis, room.cpuMillis), memoryMb: Math.min(total.memoryMb, room.memoryMb), accelerators: Math.min(total.accelerators, room.accelerators),
		});
	}

	return unseen;
}

/** What the workers hold that have not answered; without a bound for one that the store no longer lists. */
function measureRoom({workers}: Scheduler, now: number): Resources {
	let room = nothing;
	for (const {unresolvedUntil, listing} of workers.values()) {
		if (unresolvedUntil > now) {
			room = addResources(room, listing?.capacity ?? {cpuMillis: Number.POSITIVE_INFINITY, memoryMb: Number.POSITIVE_INFINITY, accelerators: Number.POSITIVE_INFINITY});
		}
	}

	return room;
}

function measureIdle({occurrences}: ActiveJob): Resources {
	let idle = nothing;
	for (const steps of occurrences.values()) {
		for (const step of steps) {
			if (!isTurn(steps, step)) {
				continue;
			}

			for (const {done, definition, members} of step.units) {
				const count = done ? 0 : members.filter(({state}) => state === 'idle').length;
				idle = addResources(idle, measureNeed(definition), count);
			}
		}
	}

	return idle;
}
