import {checkBound} from '../check-bound.js';
import {type ControlSimulation, findRevisionInForce, startControlSimulation} from '../control-simulation.js';
import {type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';

const submitIntervalMs = 20;
const graceMs = 3000;
const withdrawalAtMs = 8000;
const runMs = 30_000;

type Fault = (pump: ControlSimulation, user: User) => void;

/** Faults injected around the withdrawal at `withdrawalAtMs`. They affect instance 7, several instances, the store or all messages. */
const faults: Readonly<Record<string, Fault>> = {
	none() {
		// The key is withdrawn without any fault.
	},
	'cut off before'(pump) {
		pump.at(withdrawalAtMs - 100, () => {
			pump.isolate(['entry-7'], pump.isolated);
		});
	},
	'cut off at the same time'(pump) {
		pump.at(withdrawalAtMs, () => {
			pump.isolate(['entry-7'], pump.isolated);
		});
	},
	'cut off from the store only'(pump) {
		pump.at(withdrawalAtMs - 100, () => {
			pump.isolate(['entry-7'], pump.isolatedFromStore);
		});
	},
	'paused with messages waiting'(pump) {
		pump.at(withdrawalAtMs - 50, () => {
			pump.pause('entry-7', withdrawalAtMs + 8000);
		});
	},
	'paused, then cut off'(pump) {
		pump.at(withdrawalAtMs - 50, () => {
			pump.isolate(['entry-7'], pump.isolated);
			pump.pause('entry-7', withdrawalAtMs + 8000);
		});
	},
	'just started'(pump, user) {
		pump.at(withdrawalAtMs - 30, () => {
			pump.startNode('entry-8', user, {zone: user.fleet.zones[0] ?? '', seed: 99});
		});
	},
	'store away right after'(pump) {
		pump.at(withdrawalAtMs + 4, () => {
			pump.storeCondition = {down: true};
		});
	},
	'some without the store before, away for all after'(pump) {
		pump.at(withdrawalAtMs - 500, () => {
			pump.isolate(['entry-5', 'entry-6', 'entry-7'], pump.isolatedFromStore);
		});
		pump.at(withdrawalAtMs + 6, () => {
			pump.storeCondition = {down: true};
		});
	},
	'one cut off before, store away for all after'(pump) {
		pump.at(withdrawalAtMs - 500, () => {
			pump.isolate(['entry-7'], pump.isolated);
		});
		pump.at(withdrawalAtMs + 6, () => {
			pump.storeCondition = {down: true};
		});
	},
	'slow store'(pump) {
		pump.at(withdrawalAtMs - 1000, () => {
			pump.storeCondition = {delayMs: 1500};
		});
	},
	'answers and messages lost'(pump) {
		pump.at(withdrawalAtMs - 1000, () => {
			pump.storeCondition = {loseAnswers: 0.3};
			pump.delivery = {
				...pump.delivery, drop: 0.3, duplicate: 0.2, jitterMs: 200,
			};
		});
	},
};

function submitRequests(pump: ControlSimulation, queue: string, keyHash: string): void {
	let count = 0;
	const submitToAll = (): void => {
		for (const id of pump.nodes.keys()) {
			count += 1;
			pump.deliver(id, {
				type: 'request-arrived', arrival: {
					id: `${id}-r-${count}`, queue, keyHash, bodyBytes: 0,
				},
			});
		}

		pump.after(submitIntervalMs, submitToAll);
	};

	submitToAll();
}

function measureUses(user: User, seed: number, fault: Fault): {lateUses: number; usesBefore: number; lastUseMs: number} {
	const worker = {slots: 1_000_000, serviceTimeMs: () => 5};
	const pump = startControlSimulation(user, {seed, worker});
	const [queue = ''] = Object.entries(user.catalogue.queues).find(([, value]) => !value.open) ?? [];
	const [teamName = '', team] = Object.entries(user.catalogue.teams)[0] ?? [];
	const [key] = Object.values(team?.keys ?? {});
	submitRequests(pump, queue, key?.hash ?? '');
	pump.at(withdrawalAtMs, () => {
		pump.deliver('entry-0', {
			type: 'edit-requested', edit: {
				requestId: 'withdraw', operator: 'ann', section: 'teams', name: teamName, value: {...team, keys: {}}, baseRevision: findRevisionInForce(pump, 'entry-0'),
			},
		});
	});
	fault(pump, user);
	pump.run(runMs);
	const answer = pump.edits.get('withdraw');
	if (answer?.result.type !== 'accepted') {
		throw new Error(`The withdrawal was not accepted: ${JSON.stringify(answer)}`);
	}

	// The edit was stored no later than its answer, so times count from the answer.
	const uses = pump.trace.filter(entry => entry.type === 'started').map(entry => entry.at - answer.at);
	return {
		lateUses: uses.filter(elapsedMs => elapsedMs > graceMs).length,
		usesBefore: uses.filter(elapsedMs => elapsedMs <= 0).length,
		lastUseMs: Math.max(...uses),
	};
}

/** Counts uses of a withdrawn key after the guaranteed time, for faults injected around the withdrawal. */
export const keyWithdrawal: Experiment = {
	summary: 'Uses of a withdrawn key later than 3 s after its withdrawal, over a table of faults',
	run({seed}) {
		const bounds: Bound[] = [];
		const details: Record<string, unknown> = {};
		for (const name of listUsers()) {
			const user = loadUser(name);
			for (const [label, fault] of Object.entries(faults)) {
				const measured = measureUses(user, seed, fault);
				bounds.push(
					checkBound(`late uses, ${name}, ${label}`, measured.lateUses, {comparison: 'atMost', limit: 0, unit: 'uses'}),
					checkBound(`uses before the withdrawal, ${name}, ${label}`, measured.usesBefore, {comparison: 'atLeast', limit: 1, unit: 'uses'}),
				);
				details[`${name}, ${label}`] = measured;
			}
		}

		return {bounds, baselines: [], details};
	},
};
