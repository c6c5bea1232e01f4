import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type AttemptOutcome} from '@rosemaryquay/core/node/event';
import {RequestFixture, type StoreFault} from '../request-fixture.js';

const outcomes: readonly AttemptOutcome[] = [
	{type: 'succeeded'},
	{type: 'failed', status: 500},
	{type: 'lost', cause: 'connection-lost'},
	{type: 'not-started', cause: 'connection-refused'},
	{type: 'not-started', cause: 'slots-full'},
	{type: 'not-started', cause: 'leaving'},
	{type: 'not-started', cause: 'duplicate'},
];

const storeFaults: readonly StoreFault[] = ['none', 'down', 'answer-lost', 'call-lost', 'call-late'];

const steps = fc.array(fc.oneof(
	fc.record({type: fc.constant('arrive' as const), repeatable: fc.boolean(), key: fc.option(fc.nat(5), {nil: undefined})}),
	fc.record({type: fc.constant('finish' as const), attempt: fc.nat(50), outcome: fc.constantFrom(...outcomes)}),
	fc.record({type: fc.constant('cancel' as const), task: fc.nat(50)}),
	fc.record({type: fc.constant('advance' as const), durationMs: fc.constantFrom(1, 100, 900, 6000)}),
	fc.record({type: fc.constant('store' as const), fault: fc.constantFrom(...storeFaults)}),
	fc.record({type: fc.constant('withdraw' as const), zones: fc.subarray(['zone-a', 'zone-b'])}),
	fc.record({type: fc.constant('list' as const), leaving: fc.subarray(['w-0', 'w-1', 'w-2']), absent: fc.subarray(['w-1', 'w-2'])}),
), {minLength: 20, maxLength: 120});

type Step = typeof steps extends fc.Arbitrary<infer Value> ? (Value extends Array<infer Item> ? Item : never) : never;

class Simulation {
	readonly fixture = new RequestFixture({workers: 3, runningLimit: 4});
	arrived = 0;
	/** Number of attempts that may have run, by task. */
	readonly mayHaveRun = new Map<string, number>();
	readonly ended = new Set<string>();
	readonly notRepeatable = new Set<string>();
	#checkedEffects = 0;

	apply(step: Step): void {
		const {fixture} = this;
		const handlers: {readonly [Type in Step['type']]: (step: Extract<Step, {type: Type}>) => void} = {
			arrive: ({repeatable, key}) => {
				const id = `r-${this.arrived}`;
				this.arrived += 1;
				if (!repeatable) {
					this.notRepeatable.add(id);
				}

				fixture.arrive(id, {queue: repeatable ? 'mail' : 'orders', fingerprint: id, ...(key !== undefined && {idempotencyKey: `${repeatable}-${key}`, fingerprint: 'same'})});
			},
			finish({attempt, outcome}) {
				const starts = fixture.effects.filter(effect => effect.type === 'start-attempt');
				fixture.finish(starts[attempt % Math.max(1, starts.length)]?.attemptId ?? 'none', outcome);
			},
			cancel({task}) {
				fixture.apply({type: 'request-cancelled', at: fixture.at, taskId: `r-${task}`});
			},
			advance({durationMs}) {
				fixture.advance(durationMs);
			},
			store({fault}) {
				fixture.storeFaults.push(fault);
			},
			withdraw({zones}) {
				fixture.loadCatalogue(zones);
			},
			list({leaving, absent}) {
				fixture.list(leaving, absent);
			},
		};
		const started = new Set(fixture.node.tasks.attempts.keys());
		(handlers[step.type] as (step: Step) => void)(step);
		this.#checkEffects(step.type === 'finish' && step.outcome.type === 'not-started' && step.outcome.cause !== 'duplicate', started);
		this.#checkCounts();
	}

	/** Counts the starts, less those that the worker refused in this step, and checks the answers and refusals to callers. */
	#checkEffects(refused: boolean, before: ReadonlySet<string>): void {
		const {effects, node} = this.fixture;
		for (const effect of refused ? effects : []) {
			if (effect.type === 'start-attempt' && before.has(effect.attemptId) && !node.tasks.attempts.has(effect.attemptId)) {
				this.#countStart(effect.taskId, -1);
			}
		}

		for (; this.#checkedEffects < effects.length; this.#checkedEffects++) {
			const effect = effects[this.#checkedEffects];
			if (effect?.type === 'start-attempt') {
				this.#countStart(effect.taskId, 1);
			} else if (effect?.type === 'refuse' || effect?.type === 'answer' || effect?.type === 'answer-recorded') {
				assert.ok(!this.ended.has(effect.taskId), `${effect.taskId} was answered twice`);
				this.ended.add(effect.taskId);
			}

			if (effect?.type === 'refuse' && effect.refusal.execution === 'not run') {
				assert.equal(this.mayHaveRun.get(effect.taskId) ?? 0, 0, `false report of "not run" for ${effect.taskId}: ${effect.refusal.reason}`);
			}
		}
	}

	#countStart(taskId: string, change: 1 | -1): void {
		const count = (this.mayHaveRun.get(taskId) ?? 0) + change;
		this.mayHaveRun.set(taskId, count);
		assert.ok(count <= 1 || !this.notRepeatable.has(taskId), `${taskId} may have run ${count} times`);
	}

	#checkCounts(): void {
		const {tasks, limits, placement} = this.fixture.node;
		const running = limits.running.get('first') ?? 0;
		const onWorkers = [...placement.workers.values()].reduce((sum, worker) => sum + worker.running, 0);
		assert.equal(running, tasks.attempts.size, 'running requests of the team and attempts');
		assert.equal(onWorkers, tasks.attempts.size, 'slots and attempts');
		assert.ok(running <= 4, 'upper limit');
	}
}

// Guards against slots, running counts and places in the queue that are leaked or freed twice under any order of
// events, a second run of a request that is not repeatable, and a false report of "not run".
test('conserves slots and limits, and runs requests that are not repeatable at most once, in random event orders', () => {
	fc.assert(fc.property(steps, sequence => {
		const run = new Simulation();
		for (const step of sequence) {
			run.apply(step);
		}

		run.apply({type: 'withdraw', zones: []});
		run.apply({type: 'list', leaving: [], absent: []});
		run.apply({type: 'advance', durationMs: 6000});
		for (let round = 0; round < 20; round++) {
			for (const attemptId of run.fixture.node.tasks.attempts.keys()) {
				run.fixture.finish(attemptId);
			}

			run.apply({type: 'advance', durationMs: 6000});
		}

		assert.equal(run.fixture.node.tasks.byId.size, 0, 'tasks left');
		assert.equal(run.fixture.node.deduplication.active.size, 0, 'claims left');
	}), {seed: 1, numRuns: 150});
});

// Guards against two runs of one idempotency key on two instances.
test('starts an idempotency key at most once on two instances under store faults', () => {
	fc.assert(fc.property(fc.array(fc.record({node: fc.nat(1), fault: fc.constantFrom(...storeFaults), durationMs: fc.constantFrom(0, 100, 3000)}), {maxLength: 12}), sequence => {
		const first = new RequestFixture({peers: ['entry-2']});
		const nodes = [first, new RequestFixture({id: 'entry-2', store: first.store, peers: ['entry-1']})];
		for (const [index, {node: chosen, fault, durationMs}] of sequence.entries()) {
			nodes[chosen]?.storeFaults.push(fault);
			nodes[chosen]?.arrive(`r-${index}`, {idempotencyKey: 'k'});
			for (const node of nodes) {
				node.advance(durationMs);
			}
		}

		const starts = nodes.flatMap(node => node.effects).filter(effect => effect.type === 'start-attempt');
		assert.ok(starts.length <= 1, `${starts.length} starts`);
	}), {seed: 2, numRuns: 300});
});
