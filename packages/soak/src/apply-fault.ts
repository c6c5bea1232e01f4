import {setTimeout as delay} from 'node:timers/promises';
import {type Fault, type FaultKind} from './fault.js';
import {type Direction} from './connection-proxy.js';
import {type SoakFleet, type Organisation} from './soak-fleet.js';
import {type SoakLoad} from './soak-load.js';

/** Delay of bytes on a delayed connection, beyond the shortest time-out of the program's calls (400 ms). */
const delayMs = 600;

type Context = {readonly fleet: SoakFleet; readonly load: SoakLoad; readonly storeFaults: string[]};
type Effect = (context: Context, fault: Fault) => Promise<void> | void;
type Handler = {readonly begin: Effect; readonly end?: Effect};

const silence = (directions: Direction[]): Handler => ({
	begin({fleet}, {target}) {
		fleet.command({type: 'begin-silence', connection: target, directions});
	},
	end({fleet}, {target}) {
		fleet.command({type: 'end-silence', connection: target, directions});
	},
});

const takeDown = (signal: 'SIGTERM' | 'SIGKILL'): Handler => ({
	begin({fleet}, {target}) {
		fleet.programs.get(target)?.takeDown(signal);
	},
	async end({fleet}, {target}) {
		await fleet.programs.get(target)?.bringBack();
	},
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
			fleet.command({type: 'set-delay', connection: target, delayMs});
		},
		end({fleet}, {target}) {
			fleet.command({type: 'set-delay', connection: target, delayMs: 0});
		},
	},
	'connection-reset': {
		begin({fleet}, {target}) {
			fleet.command({type: 'reset', connection: target});
		},
	},
	'connection-silent': silence(['there', 'back']),
	'connection-silent-one-way': {
		async begin(context, fault) {
			return silence([directionOf(fault)]).begin(context, fault);
		},
		async end(context, fault) {
			return silence([directionOf(fault)]).end?.(context, fault);
		},
	},
	'process-killed': takeDown('SIGKILL'),
	'process-stopped': takeDown('SIGTERM'),
	'process-paused': {
		begin({fleet}, {target}) {
			fleet.programs.get(target)?.pause();
		},
		end({fleet}, {target}) {
			fleet.programs.get(target)?.resume();
		},
	},
	'settings-reloaded': {
		begin({fleet}, {target}) {
			fleet.programs.get(target)?.signal('SIGHUP');
		},
	},
	'worker-killed': {
		async begin({fleet}, {target}) {
			await fleet.killWorker(target);
		},
		async end({fleet}, {target}) {
			await fleet.startWorker(target);
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
	'store-loses-history': {
		async begin({fleet}) {
			await fleet.commandStore({type: 'lose-history'});
		},
	},
	'configuration-changed': {
		async begin({fleet}) {
			await fleet.changeConfiguration();
		},
	},
	'key-withdrawn': {
		async begin({fleet}, {target}) {
			await fleet.changeKey(target as Organisation, 'withdraw');
		},
		async end({fleet}, {target}) {
			await fleet.changeKey(target as Organisation, 'give-back');
		},
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
