import {type FleetEvent, type SubmittedStep} from '@rosemaryquay/testing/jobs/fleet-event';
import {type Violation} from './violation.js';

/** Time after the last submission from which what can run must start in time, as the platform documents it, in milliseconds. */
const finishMs = 14_000;

/** Time after which a task that could run must have started; for a long-running one, it counts from 6 s after its last run. */
const startWithinMs = 3000;
const longRunningPauseMs = 6000;

/** Interval at which the rule is applied, and time for which a worker has been up before it counts. */
const intervalMs = 100;
const settlingMs = 1000;

/** Part of an upper limit, and of all workers, below which a task that waits could run, if there is room for two like it. */
const spaciousFraction = 0.5;
const capacityMultiple = 2;

type Run = {readonly task: string; readonly worker: string; readonly run: number};
type Submission = {readonly organisation: string; readonly steps: readonly SubmittedStep[]};
type Worker = {readonly cpuMillis: number; readonly startedAt: number};

type Seen = {
	readonly submissions: Map<string, Submission>;
	/** Accepted jobs that have not ended and were not cancelled. */
	readonly open: Set<string>;
	/** Jobs that were cancelled, or ended, possibly before their acceptance was seen. */
	readonly over: Set<string>;
	readonly limits: Map<string, number>;
	readonly workers: Map<string, Worker>;
	readonly done: Set<string>;
	readonly lastRanAt: Map<string, number>;
	live: readonly Run[];
};

type EventOf<Type extends FleetEvent['type']> = Extract<FleetEvent, {type: Type}>;
type Handlers = {readonly [Type in FleetEvent['type']]?: (seen: Seen, event: EventOf<Type>) => void};

const finalStates = new Set(['completed', 'failed', 'cancelled']);

const handlers: Handlers = {
	submitted({submissions}, {job, organisation, steps}) {
		submissions.set(job, {organisation, steps});
	},
	answered({open, over}, {job, method, status, state}) {
		if (method === 'cancel' || finalStates.has(state)) {
			over.add(job);
			open.delete(job);
		} else if (method === 'submit' && status === 200 && !over.has(job)) {
			open.add(job);
		}
	},
	limited({limits}, {organisation, cpuMillis}) {
		limits.set(organisation, cpuMillis);
	},
	'worker-started'({workers}, {worker, cpuMillis, at}) {
		workers.set(worker, {cpuMillis, startedAt: at});
	},
	'worker-crashed'(seen, {worker, at}) {
		seen.workers.delete(worker);
		removeRuns(seen, at, other => other.worker === worker);
	},
	started(seen, {task, worker, run}) {
		seen.live = [...seen.live, {task, worker, run}];
	},
	ended(seen, {task, worker, run, end, at}) {
		removeRuns(seen, at, other => other.task === task && other.worker === worker && other.run === run);
		if (end === 'done') {
			seen.done.add(task);
		}
	},
};

/**
 * Checks that what can run starts in time after the end of the load: no job has nothing running for 3 s while the turn of
 * one of its tasks has come, there is room for two such tasks, and less than half of the upper limit of its organisation
 * and of all workers is in use. For long-running tasks this holds for each of them, from 6 s after its last run.
 *
 * @param events - all events of a run, in the order of their time
 * @returns the violations
 * @example
 * checkLateStarts(events);
 */
export function checkLateStarts(events: readonly FleetEvent[]): Violation[] {
	const loadEndedAt = events.findLast(({type}) => type === 'submitted')?.at ?? Number.POSITIVE_INFINITY;
	const endedAt = events.findLast(({type}) => type === 'answered')?.at ?? 0;
	const seen: Seen = {
		submissions: new Map(), open: new Set(), over: new Set(), limits: new Map(), workers: new Map(), done: new Set(), lastRanAt: new Map(), live: [],
	};
	const violations = new Map<string, Violation>();
	const startableSince = new Map<string, number>();
	let position = 0;
	for (let now = loadEndedAt + finishMs; now <= endedAt; now += intervalMs) {
		for (; (events[position]?.at ?? Number.POSITIVE_INFINITY) <= now; position++) {
			const event = events[position]!;
			(handlers[event.type] as ((seen: Seen, event: FleetEvent) => void) | undefined)?.(seen, event);
		}

		const startable = new Set(listStartable(seen, now));
		for (const name of startableSince.keys()) {
			if (!startable.has(name)) {
				startableSince.delete(name);
			}
		}

		for (const name of startable) {
			const since = startableSince.get(name) ?? now;
			startableSince.set(name, since);
			if (now - since >= startWithinMs && !violations.has(name)) {
				violations.set(name, {rule: 'late-start', at: now, text: `${name} could run since ${now - since} ms and does not`});
			}
		}
	}

	return [...violations.values()];
}

function removeRuns(seen: Seen, at: number, isRemoved: (run: Run) => boolean): void {
	for (const {task} of seen.live.filter(run => isRemoved(run))) {
		seen.lastRanAt.set(task, at);
	}

	seen.live = seen.live.filter(run => !isRemoved(run));
}

/** Lists jobs that could run and have nothing running, and long-running tasks that could run and do not. */
function listStartable(seen: Seen, now: number): string[] {
	const running = new Set(seen.live.map(({task}) => task));
	const startable: string[] = [];
	for (const job of seen.open) {
		const {organisation = '', steps = []} = seen.submissions.get(job) ?? {};
		const isRunning = [...running].some(task => task.startsWith(`${job}.`));
		for (const [position, step] of steps.entries()) {
			const waiting = listTasks(job, position, step).filter(task => !seen.done.has(task) && !running.has(task) && isDue(seen, task, {step, now}));
			const isTurn = step.after.every(earlier => listTasks(job, earlier, steps[earlier]).every(task => seen.done.has(task)));
			if (waiting.length > 0 && isTurn && (step.longRunning || !isRunning) && hasRoom(seen, {organisation, step, now})) {
				startable.push(...(step.longRunning ? waiting : [job]));
			}
		}
	}

	return startable;
}

function listTasks(job: string, position: number, step: SubmittedStep | undefined): string[] {
	return Array.from({length: step?.count ?? 0}, (_, index) => `${job}.0.${position}.${index}`);
}

function isDue({lastRanAt}: Seen, task: string, {step, now}: {step: SubmittedStep; now: number}): boolean {
	return !step.longRunning || now - (lastRanAt.get(task) ?? Number.NEGATIVE_INFINITY) >= longRunningPauseMs;
}

function hasRoom(seen: Seen, {organisation, step, now}: {organisation: string; step: SubmittedStep; now: number}): boolean {
	let capacity = 0;
	let places = 0;
	for (const [worker, {cpuMillis, startedAt}] of seen.workers) {
		if (now - startedAt < settlingMs) {
			continue;
		}

		capacity += cpuMillis;
		places += Math.floor((cpuMillis - sumCpu(seen, run => run.worker === worker)) / step.cpuMillis);
	}

	const limit = seen.limits.get(organisation) ?? 0;
	const used = sumCpu(seen, ({task}) => findSubmission(seen, task)?.organisation === organisation);
	return places >= capacityMultiple && sumCpu(seen, () => true) < capacity * spaciousFraction && (limit === 0 || used < limit * spaciousFraction);
}

function sumCpu(seen: Seen, isCounted: (run: Run) => boolean): number {
	return seen.live.filter(run => isCounted(run)).reduce((sum, {task}) => sum + (findSubmission(seen, task)?.steps[Number(task.split('.')[2])]?.cpuMillis ?? 0), 0);
}

function findSubmission({submissions}: Seen, task: string): Submission | undefined {
	return submissions.get(task.split('.', 1)[0] ?? '');
}
