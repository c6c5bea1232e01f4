import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestOwner, type TestOwner} from '../create-test-owner.js';
import {type SchedulerEffect} from '../state/effect.js';
import {type TicketAnswer} from '../state/event.js';

const stepMs = 20;
const runMs = 2100;

/** Calls that wait at the service, from which it refuses further ones. */
const mostWaiting = 32;

/** Time after which the client awaits an answer no longer. */
const clientTimeoutMs = 30_000;

type Call = Extract<SchedulerEffect, {type: 'ask-tickets'}> & {readonly sentAt: number};

type Service = {
	/** Time that a call takes, and for each worker that it names, in milliseconds. */
	decideMs: number;
	eachMs: number;
	validMs: number;
	/** Calls that arrive are lost, as on a connection that has gone silent. */
	isSilent: boolean;
	/** Calls that arrive are refused. */
	isRefusing: boolean;
	/** Workers that may run the steps of a job, by its id; all by default. */
	readonly allowed: Map<string, readonly string[]>;
};

const queue = {
	host: 'jobs.example', maximumAttempts: 3, stretch: 1.6, targetLatencyMs: 600,
};

const services = ['planner', 'billing'] as const;

/** Rule of the queues `advised-planner` and `advised-billing`. */
const rule = {decideMs: 200, eachMs: 10, validMs: 5000};

/**
 * Creates an owner of two services with eight workers of 64 cores each, and a service that issues tickets: it handles one call at
 * a time, in turn, also calls whose callers have given them up.
 */
function createAdvisedOwner(changes: Partial<Service> & {ruleOfBilling?: typeof rule} = {}) {
	const {ruleOfBilling = rule, ...serviceChanges} = changes;
	const service: Service = {
		...rule, isSilent: false, isRefusing: false, allowed: new Map(), ...serviceChanges,
	};
	const rules = {planner: rule, billing: ruleOfBilling};
	const waiting: Call[] = [];
	const ends = new Map<string, number>();
	const startedAt = new Map<string, number>();
	const counts = {
		calls: 0, refused: 0, abandoned: 0, startedWithExpiredTicket: 0,
	};
	const issuedAt = new Map<string, number>();
	let freeAt = 0;
	const answers: Array<{at: number; call: number; answer: TicketAnswer}> = [];
	const owner: TestOwner = createTestOwner({
		workers: services.flatMap(name => Array.from({length: 8}, () => ({service: name, capacity: {cpuMillis: 64_000, memoryMb: 131_072, accelerators: 0}}))),
		configuration: {
			queues: services.map(name => ({
				...queue, name: `advised-${name}`, pathPrefix: `/${name}/`, service: name, ticketRule: rules[name],
			})),
			pools: services.map(name => ({name})),
		},
		onEffect(effect, {state: {now}}) {
			if (effect.type === 'ask-tickets') {
				receive({...effect, sentAt: now});
			} else if (effect.type === 'start') {
				startedAt.set(effect.task, now);
				ends.set(effect.task, now + runMs);
				counts.startedWithExpiredTicket += now > (issuedAt.get(effect.ticket) ?? 0) + service.validMs ? 1 : 0;
			}
		},
	});

	function receive(call: Call): void {
		counts.calls++;
		if (service.isRefusing || waiting.length >= mostWaiting) {
			counts.refused++;
			answers.push({at: call.sentAt + stepMs, call: call.call, answer: {outcome: 'refused'}});
			return;
		}

		answers.push({at: call.sentAt + clientTimeoutMs, call: call.call, answer: {outcome: 'unanswered'}});
		if (!service.isSilent) {
			waiting.push(call);
		}
	}

	function serve(): void {
		const {now} = owner.state;
		for (let [call] = waiting; call !== undefined; [call] = waiting) {
			const endsAt = Math.max(freeAt, call.sentAt) + service.decideMs + (service.eachMs * call.workers.length);
			if (endsAt > now) {
				return;
			}

			freeAt = endsAt;
			waiting.shift();
			const {call: number, job, workers} = call;
			const timeout = answers.findIndex(answer => answer.call === number);
			if (timeout === -1) {
				counts.abandoned++;
				continue;
			}

			const allowed = service.allowed.get(job);
			const tickets = workers.filter(id => allowed?.includes(id) ?? true).map(worker => ({worker, value: `${number} ${worker}`}));
			for (const {value} of tickets) {
				issuedAt.set(value, endsAt);
			}

			answers.splice(timeout, 1, {at: now, call: number, answer: {outcome: 'decided', tickets, validMs: service.validMs}});
		}
	}

	function reportWorkers(): void {
		const {now} = owner.state;
		for (const {id, tasks, receivedEndNumber} of owner.scheduler.workers.values()) {
			const ended = [...tasks].filter(({id: task, group}) => !group.definition.longRunning && (ends.get(task) ?? now) < now);
			owner.report(id, {
				ended: ended.map(({id: task, run}, index) => ({
					number: receivedEndNumber + index + 1, task, run, end: 'done', checkpoint: '',
				})),
				running: [...tasks].filter(task => !ended.includes(task)).map(({id: task, run}) => ({
					task, run, checkpoint: '', percent: 100, load: 0,
				})),
			});
		}
	}

	return {
		owner,
		service,
		counts,
		submit(id: string, options: {to?: typeof services[number]; count?: number; longRunning?: boolean; cpuMillis?: number} = {}) {
			const {to = 'planner', count = 8, longRunning = false, cpuMillis = 7100} = options;
			owner.submit(id, {
				count, cpuMillis, memoryMb: 512, estimatedMs: runMs, longRunning,
			}, {queue: `advised-${to}`, service: to});
		},
		advance(durationMs: number) {
			for (const end = owner.state.now + durationMs; owner.state.now < end;) {
				serve();
				for (const due of answers.filter(({at}) => at <= owner.state.now)) {
					answers.splice(answers.indexOf(due), 1);
					owner.dispatch({type: 'tickets-answered', call: due.call, answer: due.answer});
				}

				reportWorkers();
				owner.tick(stepMs);
			}
		},
		findStart: (job: string) => startedAt.get(`${job}.0.0.0`),
	};
}

describe('calls to a service that issues tickets and handles one call at a time', () => {
	for (const {count, withinMs} of [{count: 40, withinMs: 16_000}, {count: 160, withinMs: 56_000}]) {
		it(`guards against jobs that never start because given-up calls occupy the service: ${count} jobs in 4 s`, () => {
			const {submit, advance, findStart, counts} = createAdvisedOwner();
			const names = Array.from({length: count}, (_, index) => `job${index}`);
			for (const name of names) {
				submit(name);
				advance(4000 / count);
			}

			advance(withinMs);
			assert.deepEqual(names.filter(name => findStart(name) === undefined), []);
			assert.equal(counts.abandoned + counts.refused, 0);
		});
	}

	it('guards against a queue whose decisions are slow that keeps another queue from its idle service', () => {
		const {submit, advance, findStart} = createAdvisedOwner({ruleOfBilling: {...rule, decideMs: 1000}});
		for (let index = 0; index < 40; index++) {
			submit(`slow${index}`, {to: 'billing'});
		}

		advance(3000);
		submit('quick');
		advance(3000);
		assert.notEqual(findStart('quick'), undefined);
	});

	it('guards against tickets that count as expired because their call has waited', () => {
		const {submit, advance, findStart, counts} = createAdvisedOwner({validMs: 400});
		for (let index = 0; index < 6; index++) {
			submit(`job${index}`, {count: 1});
		}

		advance(4000);
		assert.deepEqual([0, 1, 2, 3, 4, 5].filter(index => findStart(`job${index}`) === undefined), []);
		assert.equal(counts.startedWithExpiredTicket, 0);
	});

	for (const factor of [3, 10, 30]) {
		it(`guards against a service that gets more calls than it can handle because it is ${factor} times as slow as its rule says`, () => {
			const {submit, advance, findStart, counts} = createAdvisedOwner({decideMs: rule.decideMs * factor, eachMs: rule.eachMs * factor, validMs: 60_000});
			const callMs = 280 * factor;
			const handledCalls = 14;
			for (let index = 0; index < 6; index++) {
				submit(`job${index}`, {count: 1});
			}

			advance(handledCalls * callMs);
			assert.deepEqual([0, 1, 2, 3, 4, 5].filter(index => findStart(`job${index}`) === undefined), []);
			assert.ok(counts.calls <= handledCalls + 2, `${counts.calls} calls while the service can handle ${handledCalls}`);
			assert.ok(counts.abandoned <= 6, `${counts.abandoned} answers came too late`);
		});
	}

	for (const trouble of ['isSilent', 'isRefusing'] as const) {
		it(`guards against a service that is asked too seldom once it is back: ${trouble}`, () => {
			const {service, submit, advance, findStart, counts} = createAdvisedOwner();
			submit('first');
			advance(1000);
			service[trouble] = true;
			submit('second');
			submit('third');
			advance(5000);
			assert.ok(counts.calls <= 12, `${counts.calls} calls`);
			service[trouble] = false;
			advance(5000);
			assert.notEqual(findStart('second'), undefined);
			assert.notEqual(findStart('third'), undefined);
		});
	}

	it('guards against jobs whose allowed workers have no room that use up the calls of others', () => {
		const {service, submit, advance, findStart, counts} = createAdvisedOwner();
		submit('occupant', {count: 1, longRunning: true, cpuMillis: 64_000});
		service.allowed.set('occupant', ['w1']);
		advance(1000);
		for (let index = 0; index < 40; index++) {
			service.allowed.set(`stuck${index}`, ['w1']);
			submit(`stuck${index}`, {count: 1});
		}

		advance(40_000);
		const {calls} = counts;
		submit('late', {count: 1});
		advance(2000);
		assert.notEqual(findStart('late'), undefined);
		advance(20_000);
		assert.ok(counts.calls - calls < 60, `${counts.calls - calls} calls in 22 s`);
	});

	it('guards against tickets that are not renewed once a worker that may run the step has room', () => {
		const {service, owner, submit, advance, findStart} = createAdvisedOwner({validMs: 1000});
		service.allowed.set('occupant', ['w1']);
		service.allowed.set('waiting', ['w1']);
		submit('occupant', {count: 1, cpuMillis: 64_000});
		advance(500);
		submit('waiting', {count: 1});
		advance(runMs + 2000);
		assert.notEqual(findStart('waiting'), undefined);
		assert.equal(owner.scheduler.ticketService.calls.length, 0);
	});

	it('guards against a window that stays full after the jobs of its calls are cancelled', () => {
		const {owner, submit, advance, findStart} = createAdvisedOwner();
		submit('a');
		submit('b');
		advance(stepMs);
		owner.dispatch({type: 'job-cancelled', id: 'a'});
		owner.dispatch({type: 'job-cancelled', id: 'b'});
		submit('c');
		advance(1500);
		assert.notEqual(findStart('c'), undefined);
	});

	it('guards against taking an answer that was held up on its way for a slow service', () => {
		const {owner, service, submit, advance} = createAdvisedOwner();
		service.isSilent = true;
		submit('a');
		advance(stepMs);
		service.isSilent = false;
		advance(4000);
		const decision = {outcome: 'decided', tickets: [], validMs: 5000} as const;
		owner.dispatch({type: 'tickets-answered', call: 1, answer: decision});
		assert.ok(owner.scheduler.ticketService.slowness < 5, `${owner.scheduler.ticketService.slowness}`);
	});

	it('guards against two calls at once for a step with a suspected task', () => {
		const {owner, submit, advance, counts} = createAdvisedOwner();
		submit('a');
		const [step] = owner.scheduler.jobs.get('a')?.occurrences.get(0) ?? [];
		assert.ok(step?.groups[0]);
		step.groups[0].suspected = true;
		advance(stepMs);
		assert.equal(counts.calls, 1);
	});
});
