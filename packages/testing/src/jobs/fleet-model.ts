import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {addJob} from '@rosemaryquay/core/jobs/add-job';
import {type Configuration} from '@rosemaryquay/core/jobs/configuration-schema';
import {createScheduler} from '@rosemaryquay/core/jobs/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/effect';
import {type OrderAnswer, type SchedulerEvent} from '@rosemaryquay/core/jobs/event';
import {type ListedInstance, type WaveRequest} from '@rosemaryquay/core/jobs/instance';
import {type Job} from '@rosemaryquay/core/jobs/job-schema';
import {reduceScheduler} from '@rosemaryquay/core/jobs/reduce-scheduler';
import {type ListedWorker, type Scheduler} from '@rosemaryquay/core/jobs/scheduler';
import {Checker} from './checker.js';
import {describeBehaviour} from './describe-behaviour.js';
import {InstanceModel} from './instance-model.js';
import {type StoredJob, StoredSchedule} from './stored-schedule.js';
import {Timeline} from './timeline.js';
import {
	callTimeoutMs, partsPerThousand, WorkerLink,
} from './worker-link.js';
import {type Behaviour, WorkerModel} from './worker-model.js';

const tickIntervalMs = 40;
/** Workers write into the store at this interval, which drops them after three that were missed. */
const heartbeatMs = 1500;

export type ModelOwner = {readonly fence: number; readonly scheduler: Scheduler; isAlive: boolean; pausedUntil: number};

type Options = {
	seed: number;
	configuration: Configuration;
	workers: readonly ListedWorker[];
	instances?: readonly ListedInstance[];
	/** What a task does; by default it takes as long as estimated, and lasts where its step says so. */
	behave?: (task: string, job: Job) => Partial<Behaviour>;
};

/**
 * A fleet on virtual time: workers, a store and one owner of the schedule at a time, with faults between them.
 */
export class FleetModel {
	readonly checker: Checker;
	readonly workers = new Map<string, WorkerModel>();
	readonly log: Array<{at: number; event: string; fields: Readonly<Record<string, unknown>>}> = [];
	readonly waveStates = new Map<number, 'running' | 'completed'>();
	/** Workers that answer nothing, and are not reached. */
	readonly silent = new Set<string>();
	/** Parts in a thousand of orders whose answer is lost, and of orders that are carried out late without an answer. */
	lostAnswers = 0;
	lateOrders = 0;
	owner: ModelOwner | undefined;
	#configuration: Configuration;
	readonly #store = new StoredSchedule();
	readonly #link = new WorkerLink(this);
	readonly #waves: WaveRequest[] = [];
	readonly #instances: InstanceModel;
	#fence = 0;
	readonly #random: RandomGenerator;
	readonly #behave: NonNullable<Options['behave']>;
	readonly #timeline = new Timeline(now => {
		this.#advance(now);
	});

	readonly #handlers: {[Type in SchedulerEffect['type']]: (effect: Extract<SchedulerEffect, {type: Type}>, owner: ModelOwner) => void} = {
		start: (effect, owner) => {
			const {job, task, run, leaseUntilMs} = effect;
			this.#answerOrder(effect, owner, model => model.start(this.now, {
				fence: owner.fence, task, run, leaseUntilMs, behaviour: describeBehaviour(task, job, this.#behave(task, job)),
			}));
		},
		stop: (effect, owner) => {
			this.#answerOrder(effect, owner, model => model.stop(this.now, {fence: owner.fence, task: effect.task, run: effect.run}));
		},
		report: ({worker, storedEnd, leaseUntilMs, waitMs}, owner) => {
			const sentAt = this.now;
			// Waiting for an end is left out: the report comes after a fifth of the time at most.
			this.at(this.now + Math.min(waitMs, 50), () => {
				this.#link.carry(worker, (model, isHeard) => {
					const report = model.report(this.now, {
						fence: owner.fence, storedEnd, leaseUntilMs, isHeard: isHeard && owner.isAlive,
					});
					return () => {
						this.dispatch(report === 'fenced'
							? {type: 'report-failed', worker, outcome: 'fenced'}
							: {
								type: 'worker-reported', worker, requestedAt: sentAt, report,
							}, owner);
					};
				}, () => {
					this.dispatch({type: 'report-failed', worker, outcome: 'unanswered'}, owner);
				});
			});
		},
		'limit-speed': () => undefined,
		commit: ({number, writes}, owner) => {
			this.#link.deliver(() => {
				const isStored = owner.fence === this.#fence;
				if (isStored) {
					for (const write of writes) {
						this.#store.write(write);
					}
				}

				this.#link.deliver(() => {
					this.dispatch({type: isStored ? 'committed' : 'commit-failed', number}, owner);
				});
			});
		},
		'publish-summary': () => undefined,
		'publish-wave': ({wave, state}, owner) => {
			this.waveStates.set(wave, state);
			this.dispatch({
				type: 'wave-published', wave, state, stored: true,
			}, owner);
		},
		'ask-tickets': ({job, occurrence, step, workers}, owner) => {
			this.#link.deliver(() => {
				this.dispatch({
					type: 'tickets-answered', job, occurrence, step, tickets: workers.map(worker => ({worker, value: `ticket-${worker}`})), validMs: 3000,
				}, owner);
			});
		},
		'list-instances': (_effect, owner) => {
			const askedAt = this.now;
			const instances = [...this.instances.values()];
			this.#link.deliver(() => {
				this.dispatch({type: 'instances-listed', instances, requestedAt: askedAt}, owner);
			});
		},
		upkeep: ({instance, wave}, owner) => {
			const isLost = this.draw(1, partsPerThousand) <= this.lostAnswers;
			this.#link.deliver(() => {
				const outcome = this.#instances.answerUpkeep(instance);
				if (!isLost) {
					this.dispatch({
						type: 'upkeep-answered', wave, instance, outcome,
					}, owner);
				}
			});
			if (isLost) {
				this.at(this.now + callTimeoutMs, () => {
					this.dispatch({
						type: 'upkeep-answered', wave, instance, outcome: 'unanswered',
					}, owner);
				});
			}
		},
		move: ({instance, pool}, owner) => {
			this.#link.deliver(() => {
				this.#instances.move(instance, pool);
				this.dispatch({
					type: 'move-answered', instance, pool, outcome: 'accepted',
				}, owner);
			});
		},
		'step-down'(_effect, owner) {
			owner.isAlive = false;
		},
		log: ({event, fields}) => {
			this.log.push({at: this.now, event, fields});
		},
	};

	constructor(options: Options) {
		const {seed, configuration, workers, instances = [], behave = () => ({})} = options;
		this.#random = xoroshiro128plus(seed);
		this.#configuration = configuration;
		this.#behave = behave;
		this.checker = new Checker({configuration, workers});
		this.#instances = new InstanceModel({instances, fleet: this, isSpare: pool => this.#configuration.pools.some(({name, spare}) => name === pool && spare)});
		for (const listing of workers) {
			this.addWorker(listing);
		}
	}

	get now(): number {
		return this.#timeline.now;
	}

	/** What the store holds of each job. */
	get stored(): ReadonlyMap<string, StoredJob> {
		return this.#store.jobs;
	}

	get instances(): ReadonlyMap<string, ListedInstance> {
		return this.#instances.listed;
	}

	/** Number of moves so far. */
	get moves(): number {
		return this.#instances.moves;
	}

	/** Largest number of instances that were down for upkeep at the same time. */
	get mostDown(): number {
		return this.#instances.mostDown;
	}

	addWorker(listing: ListedWorker): void {
		this.checker.addWorker(listing);
		const worker = new WorkerModel({listing, journal: this.checker});
		this.workers.set(listing.id, worker);
		this.dispatch({type: 'worker-listed', worker: listing});
		this.#beat(worker, this.now);
	}

	removeWorker(id: string): void {
		this.workers.get(id)?.crash(this.now);
		this.workers.delete(id);
		this.dispatch({type: 'worker-unlisted', id});
	}

	/** Runs an action at a time. */
	at(time: number, action: () => void): void {
		this.#timeline.at(time, action);
	}

	draw(least: number, most: number): number {
		return uniformInt(this.#random, least, most);
	}

	submit(job: Job): void {
		this.checker.accepted(job);
		this.#store.jobs.set(job.id, {job, isCancelled: false});
		this.#link.deliver(() => {
			this.dispatch({type: 'job-accepted', job});
		});
	}

	cancel(id: string): void {
		const stored = this.stored.get(id);
		if (stored !== undefined) {
			stored.isCancelled = true;
			this.checker.cancelled(id, this.now);
			this.#link.deliver(() => {
				this.dispatch({type: 'job-cancelled', id});
			});
		}
	}

	configure(configuration: Configuration): void {
		this.#configuration = configuration;
		this.checker.configure(configuration);
		this.dispatch({type: 'configuration-changed', configuration});
	}

	requestWave(wave: WaveRequest): void {
		this.#waves.push(wave);
		this.dispatch({type: 'waves-requested', waves: this.#waves});
	}

	/** A new owner takes over from the store; the one before it may be dead or only cut from the store. */
	takeOver(): void {
		this.#fence++;
		const scheduler = createScheduler({
			term: this.#fence, now: this.now, configuration: this.#configuration, holders: this.#store.holders, stopMs: 400,
		});
		this.owner = {
			fence: this.#fence, scheduler, isAlive: true, pausedUntil: 0,
		};
		const pass = {scheduler, ...this.#moment(), effects: []};
		for (const {job, progress, end, isCancelled} of this.stored.values()) {
			if (end === undefined) {
				addJob(pass, job, {progress: progress === undefined ? undefined : structuredClone(progress), cancelled: isCancelled, recovered: true});
			}
		}

		this.#perform(this.owner, pass.effects);
		for (const {listing, isAlive} of this.workers.values()) {
			if (isAlive) {
				this.dispatch({type: 'worker-listed', worker: listing});
			}
		}

		this.dispatch({type: 'waves-requested', waves: this.#waves, done: this.#store.doneInstances});
		this.#tick(this.owner);
	}

	/** A move that a former owner ordered. */
	moveInstance(id: string, pool: string): void {
		this.#instances.move(id, pool);
	}

	/** Ends the owner at once. */
	killOwner(): void {
		if (this.owner !== undefined) {
			this.owner.isAlive = false;
			this.checker.ownerEnded(this.now);
		}
	}

	/** Delivers a reading of all stored jobs that was taken now, some time later. */
	relist(delayMs: number): void {
		const jobs = [...this.stored.values()].filter(({end}) => end === undefined).map(({job}) => job);
		this.at(this.now + delayMs, () => {
			for (const job of jobs) {
				this.dispatch({type: 'job-accepted', job});
			}
		});
	}

	/** The owner's process stands still; what arrives meanwhile is handled afterwards. */
	pauseOwner(durationMs: number): void {
		if (this.owner !== undefined) {
			this.owner.pausedUntil = this.now + durationMs;
		}
	}

	dispatch(event: SchedulerEvent, owner: ModelOwner | undefined = this.owner): void {
		if (owner !== undefined && owner.pausedUntil > this.now) {
			this.at(owner.pausedUntil, () => {
				this.dispatch(event, owner);
			});
			return;
		}

		if (owner?.isAlive) {
			this.#perform(owner, reduceScheduler(owner.scheduler, event, this.#moment()));
			if (event.type !== 'ticked') {
				this.at(this.now + 3, () => {
					this.dispatch({type: 'ticked'}, owner);
				});
			}
		}
	}

	/** Runs until a time. */
	run(until: number): void {
		this.#timeline.run(until);
	}

	/** Jobs that have neither ended nor were cancelled. */
	get unfinished(): string[] {
		return [...this.stored.values()].filter(({end}) => end === undefined).map(({job}) => job.id);
	}

	/** Leases lapse in time also on workers that nobody reaches. */
	#advance(to: number): void {
		for (const worker of this.workers.values()) {
			worker.advance(to);
		}
	}

	/** A worker that is not silent writes its entry, which is gone after three intervals without. */
	#beat(worker: WorkerModel, heardAt: number): void {
		const {id} = worker.listing;
		if (this.workers.get(id) !== worker) {
			return;
		}

		const isHeard = worker.isAlive && !this.silent.has(id);
		if (isHeard) {
			this.dispatch({type: 'worker-listed', worker: worker.listing});
		} else if (this.now - heardAt >= 3 * heartbeatMs) {
			this.dispatch({type: 'worker-unlisted', id});
		}

		this.at(this.now + heartbeatMs, () => {
			this.#beat(worker, isHeard ? this.now - heartbeatMs : heardAt);
		});
	}

	#moment(): {now: number; timeOfDay: number} {
		return {now: this.now, timeOfDay: this.now};
	}

	#tick(owner: ModelOwner): void {
		if (owner.isAlive) {
			this.dispatch({type: 'ticked'}, owner);
			this.at(this.now + tickIntervalMs, () => {
				this.#tick(owner);
			});
		}
	}

	#answerOrder(effect: Extract<SchedulerEffect, {type: 'start' | 'stop'}>, owner: ModelOwner, carryOut: (model: WorkerModel) => OrderAnswer): void {
		const {worker, task, run} = effect;
		const type = effect.type === 'start' ? 'start-answered' : 'stop-answered';
		this.#link.carry(worker, model => {
			const answer = carryOut(model);
			return () => {
				this.dispatch({
					type, worker, task, run, answer,
				}, owner);
			};
		}, () => {
			this.dispatch({
				type, worker, task, run, answer: {outcome: 'unanswered'},
			}, owner);
		});
	}

	#perform(owner: ModelOwner, effects: readonly SchedulerEffect[]): void {
		for (const effect of effects) {
			const handler = this.#handlers[effect.type] as (effect: SchedulerEffect, owner: ModelOwner) => void;
			handler(effect, owner);
		}
	}
}
