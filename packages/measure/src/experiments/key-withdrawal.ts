import {checkBound} from '../check-bound.js';
import {type ControlSimulation, findRevisionInForce, startControlSimulation} from '../control-simulation.js';
import {type Bound, type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';

const submitIntervalMs = 20;
/** Time within which an accepted change must be in force at every instance. */
const maximumPropagationMs = 3000;
const withdrawalAtMs = 8000;
const runMs = 30_000;

type Fault = (simulation: ControlSimulation, user: User) => void;

/** Faults injected around the withdrawal at `withdrawalAtMs`. They affect instance 7, several instances, the store or all messages. */
const faults: Readonly<Record<string, Fault>> = {
	none() {
		// The key is withdrawn without any fault.
	},
	'cut off before'(simulation) {
		simulation.at(withdrawalAtMs - 100, () => {
			simulation.isolate(['entry-7'], simulation.isolated);
		});
	},
	'cut off at the same time'(simulation) {
		simulation.at(withdrawalAtMs, () => {
			simulation.isolate(['entry-7'], simulation.isolated);
		});
	},
	'cut off from the store only'(simulation) {
		simulation.at(withdrawalAtMs - 100, () => {
			simulation.isolate(['entry-7'], simulation.isolatedFromStore);
		});
	},
	'paused with messages waiting'(simulation) {
		simulation.at(withdrawalAtMs - 50, () => {
			simulation.pause('entry-7', withdrawalAtMs + 8000);
		});
	},
	'paused, then cut off'(simulation) {
		simulation.at(withdrawalAtMs - 50, () => {
			simulation.isolate(['entry-7'], simulation.isolated);
			simulation.pause('entry-7', withdrawalAtMs + 8000);
		});
	},
	'just started'(simulation, user) {
		simulation.at(withdrawalAtMs - 30, () => {
			simulation.startNode('entry-8', user, {zone: user.fleet.zones[0] ?? '', seed: 99});
		});
	},
	'store away right after'(simulation) {
		simulation.at(withdrawalAtMs + 4, () => {
			simulation.storeCondition = {down: true};
		});
	},
	'some without the store before, away for all after'(simulation) {
		simulation.at(withdrawalAtMs - 500, () => {
			simulation.isolate(['entry-5', 'entry-6', 'entry-7'], simulation.isolatedFromStore);
		});
		simulation.at(withdrawalAtMs + 6, () => {
			simulation.storeCondition = {down: true};
		});
	},
	'one cut off before, store away for all after'(simulation) {
		simulation.at(withdrawalAtMs - 500, () => {
			simulation.isolate(['entry-7'], simulation.isolated);
		});
		simulation.at(withdrawalAtMs + 6, () => {
			simulation.storeCondition = {down: true};
		});
	},
	'slow store'(simulation) {
		simulation.at(withdrawalAtMs - 1000, () => {
			simulation.storeCondition = {delayMs: 1500};
		});
	},
	'answers and messages lost'(simulation) {
		simulation.at(withdrawalAtMs - 1000, () => {
			simulation.storeCondition = {lostResponseProbability: 0.3};
			simulation.delivery = {
				...simulation.delivery, dropProbability: 0.3, duplicateProbability: 0.2, jitterMs: 200,
			};
		});
	},
};

function submitRequests(simulation: ControlSimulation, queue: string, keyHash: string): void {
	let count = 0;
	const submitToAll = (): void => {
		for (const id of simulation.nodes.keys()) {
			count += 1;
			simulation.deliver(id, {
				type: 'request-arrived', arrival: {
					id: `${id}-r-${count}`, queue, keyHash, bodyBytes: 0,
				},
			});
		}

		simulation.after(submitIntervalMs, submitToAll);
	};

	submitToAll();
}

function measureUses(user: User, seed: number, fault: Fault): {lateUses: number; usesBefore: number; lastUseMs: number} {
	const worker = {slots: 1_000_000, serviceTimeMs: () => 5};
	const simulation = startControlSimulation(user, {seed, worker});
	const [queue = ''] = Object.entries(user.catalogue.queues).find(([, value]) => !value.open) ?? [];
	const [teamName = '', team] = Object.entries(user.catalogue.teams)[0] ?? [];
	const [key] = Object.values(team?.keys ?? {});
	submitRequests(simulation, queue, key?.hash ?? '');
	simulation.at(withdrawalAtMs, () => {
		simulation.deliver('entry-0', {
			type: 'edit-requested', edit: {
				requestId: 'withdraw', operator: 'ann', section: 'teams', name: teamName, value: {...team, keys: {}}, baseRevision: findRevisionInForce(simulation, 'entry-0'),
			},
		});
	});
	fault(simulation, user);
	simulation.run(runMs);
	const answer = simulation.edits.get('withdraw');
	if (answer?.result.type !== 'accepted') {
		throw new Error(`The withdrawal was not accepted: ${JSON.stringify(answer)}`);
	}

	// The edit was stored no later than its answer, so times count from the answer.
	const uses = simulation.trace.filter(entry => entry.type === 'started').map(entry => entry.at - answer.at);
	return {
		lateUses: uses.filter(elapsedMs => elapsedMs > maximumPropagationMs).length,
		usesBefore: uses.filter(elapsedMs => elapsedMs <= 0).length,
		lastUseMs: Math.max(...uses),
	};
}

/** Counts uses of a withdrawn key after the time within which its withdrawal must be in force everywhere, for faults injected around the withdrawal. */
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
