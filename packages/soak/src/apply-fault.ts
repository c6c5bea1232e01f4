import {setTimeout as delay} from 'node:timers/promises';
import {type Fault, type FaultKind} from './plan-faults.js';
import {type Direction} from './connection-proxy.js';
import {type ProgramProcess} from './program-process.js';
import {type SoakFleet, type Organisation} from './soak-fleet.js';
import {type SoakLoad} from './soak-load.js';

/** Delay of bytes on a delayed connection, beyond the shortest time-out of the program's calls (400 ms). */
const delayMs = 600;

type Context = {readonly fleet: SoakFleet; readonly load: SoakLoad; readonly storeFaults: string[]; readonly owners: Map<number, ProgramProcess>};
type Effect = (context: Context, fault: Fault) => unknown;
type Handler = {readonly begin: Effect; readonly end?: Effect};

const silence = (directions: (fault: Fault) => readonly Direction[]): Handler => ({
	begin({fleet}, fault) {
		fleet.proxyOf(fault.target).changeSilence(directions(fault), 1);
	},
	end({fleet}, fault) {
		fleet.proxyOf(fault.target).changeSilence(directions(fault), -1);
	},
});

const takeDown = (signal: 'SIGTERM' | 'SIGKILL'): Handler => ({
	begin: ({fleet}, {target}) => fleet.programs.get(target)?.takeDown(signal),
	end: async ({fleet}, {target}) => fleet.programs.get(target)?.bringBack(),
});

/** The process that owns the schedule at the beginning of the fault is the one that comes back at its end. */
const takeDownOwner = (signal: 'SIGTERM' | 'SIGKILL'): Handler => ({
	begin({fleet, owners}, {number}) {
		const {owner} = fleet;
		owners.set(number, owner);
		owner.takeDown(signal);
	},
	end: async ({owners}, {number}) => owners.get(number)?.bringBack(),
});

/** The last fault of the store to begin is in force; those before it come back when it ends. */
const storeFault = (name: string): Handler => ({
	async begin({fleet, storeFaults}) {
		storeFaults.push(name);
		await fleet.commandStore({type: 'set-fault', fault: name});
	},
	async end({fleet, storeFaults}) {
		storeFaults.splice(storeFaults.indexOf(name), 1);
		await fleet.commandStore({type: 'set-fault', fault: storeFaults.at(-1) ?? 'none'});
	},
});

const handlers: Readonly<Record<FaultKind, Handler>> = {
	'connection-delayed': {
		begin({fleet}, {target}) {
			fleet.proxyOf(target).changeDelay(delayMs);
		},
		end({fleet}, {target}) {
			fleet.proxyOf(target).changeDelay(-delayMs);
		},
	},
	'connection-reset': {
		begin({fleet}, {target}) {
			fleet.proxyOf(target).reset();
		},
	},
	'connection-silent': silence(() => ['there', 'back']),
	'connection-silent-one-way': silence(fault => [directionOf(fault)]),
	'process-killed': takeDown('SIGKILL'),
	'process-stopped': takeDown('SIGTERM'),
	'owner-killed': takeDownOwner('SIGKILL'),
	'owner-stopped': takeDownOwner('SIGTERM'),
	'processes-killed': {
		begin({fleet}) {
			for (const program of fleet.programs.values()) {
				program.takeDown('SIGKILL');
			}
		},
		end: async ({fleet}) => Promise.all([...fleet.programs.values()].map(async program => program.bringBack())),
	},
	'process-paused': {
		begin: ({fleet}, {target}) => fleet.programs.get(target)?.changePause(1),
		end: ({fleet}, {target}) => fleet.programs.get(target)?.changePause(-1),
	},
	'settings-reloaded': {begin: ({fleet}, {target}) => fleet.programs.get(target)?.signal('SIGHUP')},
	'worker-killed': {
		begin: async ({fleet}, {target}) => fleet.killWorker(target),
		end: async ({fleet}, {target}) => fleet.startWorker(target),
	},
	'worker-cut': {
		begin({fleet}, {target}) {
			fleet.changeCut(target, 1);
		},
		end({fleet}, {target}) {
			fleet.changeCut(target, -1);
		},
	},
	'worker-paused': {
		begin({fleet}, {target}) {
			fleet.signalWorker(target, 'SIGSTOP');
		},
		end({fleet}, {target}) {
			fleet.signalWorker(target, 'SIGCONT');
		},
	},
	'store-refuses': storeFault('refuses'),
	'store-refuses-writes': storeFault('refuses-writes'),
	'store-silent': storeFault('silent'),
	'store-loses-answers': storeFault('loses-answers'),
	'store-answers-late': storeFault('answers-late'),
	'store-loses-history': {begin: async ({fleet}) => fleet.commandStore({type: 'lose-history'})},
	'configuration-changed': {begin: async ({fleet}) => fleet.changeConfiguration()},
	'key-withdrawn': {
		begin: async ({fleet}, {target}) => fleet.changeKey(target as Organisation, 'withdraw'),
		end: async ({fleet}, {target}) => fleet.changeKey(target as Organisation, 'give-back'),
	},
	'organisation-overloads': {
		begin({load}, {target}) {
			load.overload(target as Organisation, 1);
		},
		end({load}, {target}) {
			load.overload(target as Organisation, -1);
		},
	},
};

/** Alternates with the number of the fault, so that the schedule alone determines the direction. */
function directionOf({number}: Fault): Direction {
	return number % 2 === 0 ? 'there' : 'back';
}

/**
 * Applies a fault: begins it at its time, and ends it after its duration.
 *
 * @param fault - the fault
 * @param options - the processes, the load, `startedAt` of the run in milliseconds since 1970, and what to call at its beginning and end
 * @returns resolves once the fault is over, and what it took down is up again
 * @example
 * await applyFault(fault, {context, startedAt: Date.now(), onChange: (type, fault) => undefined});
 */
export async function applyFault(fault: Fault, options: {context: Context; startedAt: number; onChange: (type: 'fault-begun' | 'fault-ended', fault: Fault) => void}): Promise<void> {
	const {context, startedAt, onChange} = options;
	const {begin, end} = handlers[fault.kind];
	await delay(startedAt + fault.atMs - Date.now());
	onChange('fault-begun', fault);
	await begin(context, fault);
	await delay(startedAt + fault.atMs + fault.durationMs - Date.now());
	await end?.(context, fault);
	onChange('fault-ended', fault);
}
