import {rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {applyFault} from './apply-fault.js';
import {checkEvents} from './check-events.js';
import {EventLog} from './event-log.js';
import {type Fault, planFaults} from './plan-faults.js';
import {SoakFleet} from './soak-fleet.js';
import {SoakLoad} from './soak-load.js';
import {type Violation} from './violation.js';

const workerCount = 5;

/** Time after the last fault within which all accepted jobs must end, beside the duration of the load, all of whose work may have piled up: a takeover, the leases of lost workers, two runs of a long task, and the cancellation of jobs with long-running tasks. */
const settleMs = 45_000;

/** Interval at which the memory of the processes and the progress are recorded. */
const progressIntervalMs = 2000;

type SoakOptions = {
	readonly seed: number;
	/** Without the time to settle. */
	readonly durationMs: number;
	/** Processes of the program. */
	readonly processCount: number;
	/** Numbers of the faults to apply; all by default. */
	readonly only?: readonly number[];
	/** Folder for logs, events and the report, which is emptied first. */
	readonly folder: string;
	/** Path of the bundled program. */
	readonly bundle: string;
	readonly write: (line: string) => unknown;
};

export type SoakReport = {
	readonly seed: number;
	readonly faults: readonly Fault[];
	readonly jobs: Readonly<Record<string, number>>;
	readonly violations: readonly Violation[];
};

/**
 * Runs the bundled program under faults and checks it from outside.
 *
 * @param options - seed, duration, processes, faults, files and where to write progress
 * @returns the report, which is also in `report.json` of the folder
 * @example
 * await runSoak({seed: 1, durationMs: 20_000, processCount: 3, folder: 'target/soak/1', bundle: 'target/rosemaryquay.mjs', write: line => undefined});
 */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const {seed, durationMs, processCount, only, folder, bundle, write} = options;
	rmSync(folder, {recursive: true, force: true});
	const events = new EventLog(folder);
	const fleet = new SoakFleet({
		folder, bundle, events, processCount, workerCount,
	});
	const faults = planFaults(seed, {durationMs, targets: fleet.targets}).filter(({number}) => only === undefined || only.includes(number));
	for (const {number, kind, target, atMs, durationMs: lastsMs} of faults) {
		write(`${number}. ${atMs} ms ${kind} ${target}${lastsMs === 0 ? '' : ` for ${lastsMs} ms`}`);
	}

	// No process is left behind, whatever ends this one.
	const killAll = (): void => {
		fleet.kill();
	};

	process.once('exit', killAll);
	try {
		await fleet.start();
		const load = new SoakLoad({seed, events, addresses: fleet.targets.processes.map(name => fleet.proxyOf(`callers>${name}`).address)});
		const startedAt = Date.now();
		const progress = setInterval(() => {
			for (const program of fleet.programs.values()) {
				program.recordMemory();
			}

			write(`${Date.now() - startedAt} ms ${JSON.stringify(load.counts)}`);
		}, progressIntervalMs);
		load.start();
		const context = {
			fleet, load, storeFaults: [], owners: new Map(),
		};
		await Promise.all(faults.map(async fault => applyFault(fault, {
			context,
			startedAt,
			onChange(type, {number, kind, target}) {
				events.record(type, {fault: number, kind, target});
			},
		})));
		await delay(startedAt + durationMs - Date.now());
		await load.finish(settleMs + durationMs);
		clearInterval(progress);
		await fleet.stop();
		process.off('exit', killAll);
		const report = {
			seed, faults, jobs: load.counts, violations: checkEvents(events.readAll()),
		};
		writeFileSync(path.join(folder, 'report.json'), JSON.stringify(report, undefined, '\t'));
		return report;
	} catch (error) {
		fleet.kill();
		throw error;
	}
}
