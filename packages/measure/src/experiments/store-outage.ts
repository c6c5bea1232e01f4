import {checkBound} from '../check-bound.js';
import {type ControlSimulation, startControlSimulation} from '../control-simulation.js';
import {type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';

const outageMs = 600_000;
const outageAtMs = 10_000;
const recoveryMs = 30_000;
const arrivalIntervalMs = 40;
/** The store sustains several hundred writes a second. */
const maximumWritesPerSecond = 300;
const maximumReadsPerSecond = 2000;

function submitRequests(simulation: ControlSimulation, user: User): void {
	const queues = Object.entries(user.catalogue.queues).filter(([, queue]) => !queue.open).map(([name]) => name);
	const hashes = Object.values(user.catalogue.teams).flatMap(team => Object.values(team.keys).map(key => key.hash));
	const ids = [...simulation.nodes.keys()];
	let count = 0;
	const submitNext = (): void => {
		count += 1;
		simulation.deliver(ids[count % ids.length] ?? '', {
			type: 'request-arrived', arrival: {
				id: `r-${count}`, queue: queues[count % queues.length] ?? '', keyHash: hashes[count % hashes.length] ?? '', bodyBytes: 0,
			},
		});
		simulation.after(arrivalIntervalMs, submitNext);
	};

	submitNext();
}

function measureRun(user: User, seed: number, hasOutage: boolean): {answered: number; refusals: Record<string, number>; writes: number; reads: number} {
	const simulation = startControlSimulation(user, {seed, worker: {slots: 8, serviceTimeMs: () => 100}});
	submitRequests(simulation, user);
	if (hasOutage) {
		simulation.at(outageAtMs, () => {
			simulation.storeCondition = {down: true};
		});
		simulation.at(outageAtMs + outageMs, () => {
			simulation.storeCondition = {};
		});
	}

	simulation.run(outageAtMs + outageMs + recoveryMs);
	const refusals: Record<string, number> = {};
	let answered = 0;
	for (const entry of simulation.trace) {
		if (entry.type === 'answered' && entry.at >= outageAtMs && entry.at < outageAtMs + outageMs) {
			answered += 1;
		} else if (entry.type === 'refused') {
			refusals[entry.refusal.reason] = (refusals[entry.refusal.reason] ?? 0) + 1;
		}
	}

	const peakRate = (counts: ReadonlyMap<number, number>): number => Math.max(0, ...[...counts].filter(([second]) => second >= (outageAtMs + outageMs) / 1000).map(([, calls]) => calls));
	return {
		answered, refusals, writes: peakRate(simulation.writesBySecond), reads: peakRate(simulation.readsBySecond),
	};
}

/** Measures the work done while the store is unavailable for ten minutes, and the rate of store calls in the recovery. */
export const storeOutage: Experiment = {
	summary: 'Work done in a 10-minute store outage, and store calls in the recovery',
	run({seed}) {
		const bounds: Bound[] = [];
		const details: Record<string, unknown> = {};
		for (const name of listUsers()) {
			const user = loadUser(name);
			const without = measureRun(user, seed, false);
			const within = measureRun(user, seed, true);
			bounds.push(
				checkBound(`work done in the outage, ${name}`, Math.round((10_000 * within.answered) / without.answered) / 10_000, {comparison: 'atLeast', limit: 0.99, unit: 'part of the run without it'}),
				checkBound(`highest rate of writes in the recovery, ${name}`, within.writes, {comparison: 'atMost', limit: maximumWritesPerSecond, unit: 'calls/s'}),
				checkBound(`highest rate of reads in the recovery, ${name}`, within.reads, {comparison: 'atMost', limit: maximumReadsPerSecond, unit: 'calls/s'}),
			);
			details[name] = {without, within};
		}

		return {bounds, baselines: [], details};
	},
};
