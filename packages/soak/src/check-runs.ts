import {type FleetEvent, type SubmittedStep} from '@rosemaryquay/testing/jobs/fleet-event';
import {type Violation} from './violation.js';

/** Fraction by which an organisation may exceed its upper limit; the task that starts may exceed it further. */
const limitTolerance = 0.1;

/** Time after an acknowledged end within which an order of a former owner may still start a duplicate run. */
const lateDuplicateMs = 13_000;

type LiveRun = {readonly worker: string; readonly task: string; readonly run: number};
type Submission = {readonly organisation: string; readonly steps: readonly SubmittedStep[]};

type Seen = {
	readonly violations: Violation[];
	readonly submissions: Map<string, Submission>;
	readonly capacities: Map<string, number>;
	readonly limits: Map<string, number>;
	readonly confirmedAt: Map<string, number>;
	live: readonly LiveRun[];
};

type EventOf<Type extends FleetEvent['type']> = Extract<FleetEvent, {type: Type}>;
type Handlers = {readonly [Type in FleetEvent['type']]?: (seen: Seen, event: EventOf<Type>) => void};

const handlers: Handlers = {
	submitted({submissions}, {job, organisation, steps}) {
		submissions.set(job, {organisation, steps});
	},
	'worker-started'({capacities}, {worker, cpuMillis}) {
		capacities.set(worker, cpuMillis);
	},
	limited({limits}, {organisation, cpuMillis}) {
		limits.set(organisation, cpuMillis);
	},
	confirmed({confirmedAt}, {task, end, at}) {
		if (end === 'done') {
			confirmedAt.set(task, Math.min(at, confirmedAt.get(task) ?? at));
		}
	},
	ended(seen, {worker, task, run}) {
		seen.live = seen.live.filter(other => other.worker !== worker || other.task !== task || other.run !== run);
	},
	'worker-crashed'(seen, {worker}) {
		seen.live = seen.live.filter(other => other.worker !== worker);
	},
	started: checkStart,
};

/**
 * Checks the runs on the workers: at most one run of a task (two where its step allows duplicates), none after an
 * acknowledged end, none of a job that nobody submitted, capacities of workers and upper limits of organisations.
 *
 * @param events - all events of a run, in the order of their time
 * @returns the violations
 * @example
 * checkRuns(events);
 */
export function checkRuns(events: readonly FleetEvent[]): Violation[] {
	const seen: Seen = {
		violations: [], submissions: new Map(), capacities: new Map(), limits: new Map(), confirmedAt: new Map(), live: [],
	};
	for (const event of events) {
		(handlers[event.type] as ((seen: Seen, event: FleetEvent) => void) | undefined)?.(seen, event);
	}

	return seen.violations;
}

function checkStart(seen: Seen, {at, task, worker, run}: EventOf<'started'>): void {
	const {violations, confirmedAt} = seen;
	const found = findStep(seen, task);
	if (found === undefined) {
		violations.push({rule: 'unknown-job', at, text: `${task} started on ${worker}, but nobody submitted it`});
		return;
	}

	const {step} = found;
	const others = seen.live.filter(other => other.task === task);
	if (others.length >= (step.allowDuplicates ? 2 : 1)) {
		const besides = others.map(other => `run ${other.run} on ${other.worker}`).join(', ');
		violations.push({rule: 'second-run', at, text: `${task} run ${run} started on ${worker} beside ${besides}`});
	}

	const acknowledgedAt = confirmedAt.get(task) ?? Number.POSITIVE_INFINITY;
	if (at > acknowledgedAt + (step.allowDuplicates ? lateDuplicateMs : 0)) {
		violations.push({rule: 'run-after-end', at, text: `${task} run ${run} started on ${worker}, ${at - acknowledgedAt} ms after its end was acknowledged`});
	}

	seen.live = [...seen.live, {worker, task, run}];
	checkUsage(seen, found, {at, task, worker});
}

function checkUsage(seen: Seen, started: {step: SubmittedStep; organisation: string}, options: {at: number; task: string; worker: string}): void {
	const {violations, live, capacities, limits} = seen;
	const {step, organisation} = started;
	const {at, task, worker} = options;
	const onWorker = sumCpu(seen, live.filter(other => other.worker === worker));
	const capacity = capacities.get(worker) ?? 0;
	if (onWorker > capacity) {
		violations.push({rule: 'capacity', at, text: `${worker} runs ${onWorker} of ${capacity} millicores`});
	}

	const limit = limits.get(organisation) ?? 0;
	const usage = sumCpu(seen, live.filter(other => findStep(seen, other.task)?.organisation === organisation));
	if (limit > 0 && usage > (limit * (1 + limitTolerance)) + step.cpuMillis) {
		violations.push({rule: 'limit', at, text: `${organisation} runs ${usage} of ${limit} millicores after the start of ${task}`});
	}
}

function findStep({submissions}: Seen, task: string): {step: SubmittedStep; organisation: string} | undefined {
	const [job, , position] = task.split('.', 3);
	const submission = submissions.get(job ?? '');
	const step = submission?.steps[Number(position)];
	return submission === undefined || step === undefined ? undefined : {step, organisation: submission.organisation};
}

function sumCpu(seen: Seen, runs: readonly LiveRun[]): number {
	return runs.reduce((sum, {task}) => sum + (findStep(seen, task)?.step.cpuMillis ?? 0), 0);
}
