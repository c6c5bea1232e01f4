import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type AdmissionRecord} from '@rosemaryquay/core/jobs/admission/admission-record';
import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {createScheduler} from '@rosemaryquay/core/jobs/state/create-scheduler';
import {type SchedulerEffect} from '@rosemaryquay/core/jobs/state/effect';
import {type OrderAnswer, type SchedulerEvent} from '@rosemaryquay/core/jobs/state/event';
import {type ListedInstance, type WaveRequest} from '@rosemaryquay/core/jobs/state/instance';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {reduceScheduler} from '@rosemaryquay/core/jobs/state/reduce-scheduler';
import {type ListedWorker, type Scheduler} from '@rosemaryquay/core/jobs/state/scheduler';
import {type FleetOptions} from './fleet-options.js';
import {InvariantChecker} from './invariant-checker.js';
import {createInstanceHandlers} from './create-instance-handlers.js';
import {describeBehaviour} from './describe-behaviour.js';
import {HeartbeatModel} from './heartbeat-model.js';
import {InstanceModel} from './instance-model.js';
import {recoverJobs} from './recover-jobs.js';
import {type StoredJob, StoredSchedule} from './stored-schedule.js';
import {VirtualClock} from './virtual-clock.js';
import {callTimeoutMs, maximumLatencyMs, NetworkModel} from './network-model.js';
import {WorkerModel} from './worker-model.js';

const tickIntervalMs = 40;
/** Time after which a worker that a task has crashed is back. */
const workerRestartMs = 3300;

export type ModelledOwner = {readonly fence: number; readonly scheduler: Scheduler; isAlive: boolean; pausedUntil: number};

/**
 * Model of a fleet on virtual time: workers, a store and one owner of the schedule at a time, with fault injection between them.
 */
export class FleetModel {
	readonly checker: InvariantChecker;
	readonly workers = new Map<string, WorkerModel>();
	readonly log: Array<{at: number; event: string; fields: Readonly<Record<string, unknown>>}> = [];
	/** Views of the schedule, as the owners have published them. */
	readonly publishedViews: Array<{at: number; view: string}> = [];
	readonly waveStates = new Map<number, 'running' | 'completed'>();
	/** Workers that receive no calls, send no answers and write no heartbeats. */
	readonly silentWorkers = new Set<string>();
	/** Workers that carry calls out and whose answers are lost. */
	readonly unheardWorkers = new Set<string>();
	/** Workers whose heartbeats do not reach the store. */
	readonly unlistedWorkers = new Set<string>();
	/** Time in milliseconds that a call to a worker is under way, where it is longer than the usual latency. */
	readonly callDelaysMs = new Map<string, number>();
	/** Number of orders in a thousand whose answer is lost, and of those that are carried out late without an answer. */
	lostAnswersPerThousand = 0;
	lateOrdersPerThousand = 0;
	/** Time in milliseconds that an order occupies the link of the owner. */
	orderTransmissionMs = 0;
	/** Wall clock of the owner minus the true time, in milliseconds. */
	wallClockOffsetMs = 0;
	/** Admission record in the store, and the number of its writes. */
	admissionRecord: AdmissionRecord = {publishedAtMs: 0, term: 0, queues: []};
	admissionWrites = 0;
	owner: ModelledOwner | undefined;
	#configuration: Configuration;
	readonly #store = new StoredSchedule();
	readonly #network = new NetworkModel(this);
	readonly #heartbeats = new HeartbeatModel(this);
	readonly #waves: WaveRequest[] = [];
	readonly #instances: InstanceModel;
	readonly #allHandlers: Readonly<Record<SchedulerEffect['type'], unknown>>;
	#fence = 0;
	readonly #random: RandomGenerator;
	readonly #getBehaviour: NonNullable<FleetOptions['getBehaviour']>;
	/** Leases lapse on time also on workers that receive no calls. */
	readonly #clock = new VirtualClock(now => {
		for (const worker of this.workers.values()) {
			worker.advance(now);
		}
	});

	readonly #handlers: {[Type in Exclude<SchedulerEffect['type'], keyof ReturnType<typeof createInstanceHandlers>>]: (effect: Extract<SchedulerEffect, {type: Type}>, owner: ModelledOwner) => void} = {
		start: (effect, owner) => {
			const {task, run, leaseUntilMs} = effect;
			const job = this.#store.getJob(effect.job);
			this.#callWorker(effect, owner, model => model.start(this.now, {
				fence: owner.fence, task, run, leaseUntilMs, behaviour: describeBehaviour(task, job, this.#getBehaviour(task, job, effect)),
			}));
		},
		stop: (effect, owner) => {
			this.#callWorker(effect, owner, model => model.stop(this.now, {fence: owner.fence, task: effect.task, run: effect.run}));
		},
		report: ({worker, storedEnd, leaseUntilMs, waitMs}, owner) => {
			const sentAt = this.now;
			const onTimeout = (): void => {
				this.dispatch({type: 'report-failed', worker, outcome: 'unanswered'}, owner);
			};

			const send = (): void => {
				this.#network.callWorker(worker, (model, willReachOwner) => {
					const report = model.report(this.now, {
						fence: owner.fence, storedEnd, leaseUntilMs, willReachOwner: willReachOwner && owner.isAlive,
					});
					return () => {
						this.dispatch(report === 'fenced'
							? {type: 'report-failed', worker, outcome: 'fenced'}
							: {
								type: 'worker-reported', worker, requestedAt: sentAt, report,
							}, owner);
					};
				}, {onTimeout});
			};

			// A worker holds this call until a task ends or `waitMs` has passed. The model does not watch for ends: it reports after `waitMs`, at most 50 ms.
			const holdMs = Math.min(waitMs, 50);
			let holder: WorkerModel | undefined;
			let isWaiting = false;
			this.at(sentAt + Math.min(holdMs, maximumLatencyMs), () => {
				holder = this.workers.get(worker);
				isWaiting = holder?.isAlive === false;
				// A worker that is down does not hold the call: its next incarnation carries it out as soon as it is back.
				if (isWaiting) {
					send();
				}
			});
			this.at(sentAt + holdMs, () => {
				if (isWaiting) {
					return;
				}

				// A call that a worker holds is lost if that incarnation ends.
				if (holder !== this.workers.get(worker) || holder?.isAlive === false) {
					this.at(sentAt + holdMs + callTimeoutMs, onTimeout);
					return;
				}

				send();
			});
		},
		'limit-speed': () => undefined,
		commit: ({number, writes}, owner) => {
			this.#network.deliver(() => {
				const isStored = owner.fence === this.#fence;
				if (isStored) {
					this.#store.write(writes);
				}

				this.#network.deliver(() => {
					this.dispatch({type: isStored ? 'committed' : 'commit-failed', number}, owner);
				});
			});
		},
		'publish-summary': ({admission, view}, owner) => {
			if (view !== undefined) {
				this.publishedViews.push({at: this.now, view});
			}

			if (admission !== undefined) {
				this.admissionWrites++;
				this.#network.deliver(() => {
					const stored = owner.fence === this.#fence;
					this.admissionRecord = stored ? admission : this.admissionRecord;
					this.#network.deliver(() => {
						this.dispatch({type: 'admission-published', isEmpty: admission.queues.length === 0, stored}, owner);
					});
				});
			}
		},
		'ask-tickets': ({call, workers}, owner) => {
			this.#network.deliver(() => {
				this.dispatch({
					type: 'tickets-answered', call, answer: {outcome: 'decided', tickets: workers.map(worker => ({worker, value: `ticket-${worker}`})), validMs: 3000},
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

	constructor(options: FleetOptions) {
		const {seed, configuration, workers, instances = [], getBehaviour = () => ({})} = options;
		this.#random = xoroshiro128plus(seed);
		this.#configuration = configuration;
		this.#getBehaviour = getBehaviour;
		this.checker = new InvariantChecker({configuration, workers});
		this.#instances = new InstanceModel({instances, fleet: this, isSpare: pool => this.#configuration.pools.some(({name, spare}) => name === pool && spare)});
		const deliver = this.#network.deliver.bind(this.#network);
		this.#allHandlers = {
			...this.#handlers, ...createInstanceHandlers({
				fleet: this, instances: this.#instances, waves: this.#waves, deliver,
			}),
		};
		for (const listing of workers) {
			this.addWorker(listing);
		}
	}

	get now(): number {
		return this.#clock.now;
	}

	/** Jobs with their progress and end, as the store holds them. */
	get storedJobs(): ReadonlyMap<string, StoredJob> {
		return this.#store.jobs;
	}

	/** Stored summary of what the owner has learned. */
	get storedEstimates(): string | undefined {
		return this.#store.estimates;
	}

	set storedEstimates(summary: string | undefined) {
		this.#store.estimates = summary;
	}

	get instances(): ReadonlyMap<string, ListedInstance> {
		return this.#instances.instances;
	}

	/** Number of moves of instances between pools so far. */
	get moveCount(): number {
		return this.#instances.moveCount;
	}

	/** Largest number of instances that were down for upkeep at the same time. */
	get peakDownCount(): number {
		return this.#instances.peakDownCount;
	}

	addWorker(listing: ListedWorker, options: {clockStartedAt?: number; clockRate?: number} = {}): void {
		const {clockRate = 1, ...workerOptions} = options;
		this.checker.addWorker(listing);
		const worker = new WorkerModel({
			listing,
			observer: this.checker,
			onCrash: () => {
				this.#startAgain(worker, workerRestartMs);
			},
			...workerOptions,
		});
		worker.clockRate = clockRate;
		this.workers.set(listing.id, worker);
		this.#heartbeats.start(worker);
		this.#network.deliverWaitingCalls(worker);
	}

	/**
	 * Crashes a worker, which starts again under the same id: with a clock, run numbers, ends and fencing token of its own.
	 * Calls that reach it meanwhile are carried out by the next incarnation.
	 */
	restartWorker(id: string, downMs: number): void {
		const worker = this.workers.get(id);
		if (!worker?.isAlive) {
			return;
		}

		worker.crash(this.now);
		this.#startAgain(worker, downMs);
	}

	removeWorker(id: string): void {
		this.workers.get(id)?.crash(this.now);
		this.workers.delete(id);
		this.#heartbeats.remove(id);
	}

	/** Ends a worker for good together with its instance, if it has one. Its entry in the store lapses, or is removed at once. */
	loseWorker(id: string, {isEntryRemoved = false}: {isEntryRemoved?: boolean} = {}): void {
		const worker = this.workers.get(id);
		if (worker === undefined) {
			return;
		}

		this.#instances.instances.delete(worker.listing.instance);
		if (isEntryRemoved) {
			this.removeWorker(id);
		} else {
			worker.crash(this.now);
		}
	}

	/** Ends a worker for good. Its instance stays listed: as before, or as down and without a worker. */
	endWorker(id: string, {isEntryRemoved = false, isInstanceDown = false}: {isEntryRemoved?: boolean; isInstanceDown?: boolean} = {}): void {
		const worker = this.workers.get(id);
		const instance = this.instances.get(worker?.listing.instance ?? '');
		if (instance !== undefined && isInstanceDown) {
			this.#instances.instances.set(instance.id, {...instance, state: 'down', worker: ''});
		}

		if (isEntryRemoved) {
			this.removeWorker(id);
		} else {
			worker?.crash(this.now);
		}
	}

	/** Removes the entry of a worker from the store while the worker runs on; its heartbeats reach the store no more. */
	unlistWorker(id: string): void {
		this.unlistedWorkers.add(id);
		this.#heartbeats.remove(id);
	}

	/** Schedules an action at a virtual time. */
	at(time: number, action: () => void): void {
		this.#clock.at(time, action);
	}

	draw(minimum: number, maximum: number): number {
		return uniformInt(this.#random, minimum, maximum);
	}

	submit(job: Job): void {
		this.checker.jobAccepted(job);
		this.#store.jobs.set(job.id, {job, isCancelled: false});
		this.#network.deliver(() => {
			this.dispatch({type: 'job-accepted', job});
		});
	}

	cancel(id: string): void {
		const stored = this.storedJobs.get(id);
		if (stored !== undefined) {
			stored.isCancelled = true;
			this.checker.jobCancelled(id, this.now);
			this.#network.deliver(() => {
				this.dispatch({type: 'job-cancelled', id});
			});
		}
	}

	configure(configuration: Configuration): void {
		this.#configuration = configuration;
		this.checker.configure(configuration);
		this.dispatch({type: 'configuration-changed', configuration});
	}

	requestUpkeepWave(wave: WaveRequest): void {
		this.#waves.push(wave);
		this.dispatch({type: 'waves-requested', waves: this.#waves});
	}

	/**
	 * A new owner recovers the schedule from the store; the former one may have crashed or be partitioned from the store.
	 * It finds the entries of workers that are up and, if `areEndedListed`, those of ended ones that have not lapsed.
	 */
	takeOver({areEndedListed = false}: {areEndedListed?: boolean} = {}): void {
		this.#fence++;
		// The scheduler allows 400 ms for a stop; the modelled workers stop a task within 200 ms.
		const scheduler = createScheduler({
			term: this.#fence, ...this.#eventTime(), configuration: this.#configuration, holders: this.#store.holders, estimates: this.#store.estimates, isAdmissionEmpty: this.admissionRecord.queues.length === 0, stopMs: 400,
		});
		this.owner = {
			fence: this.#fence, scheduler, isAlive: true, pausedUntil: 0,
		};
		const pass = {scheduler, ...this.#eventTime(), effects: []};
		recoverJobs(pass, this.storedJobs.values());
		this.#perform(this.owner, pass.effects);
		for (const worker of this.workers.values()) {
			const listing = this.#heartbeats.findListing(worker);
			if (listing !== undefined && (worker.isAlive || (areEndedListed && this.#heartbeats.isListed(listing.id)))) {
				this.dispatch({type: 'worker-listed', worker: listing});
			}
		}

		this.dispatch({type: 'waves-requested', waves: this.#waves, done: this.#store.doneInstances});
		this.#tick(this.owner);
	}

	removeInstance(id: string): void {
		this.#instances.remove(id);
	}

	/** Moves an instance as if a former owner had ordered it. */
	moveInstance(id: string, pool: string): void {
		this.#instances.move(id, pool);
	}

	/** Crashes the owner. */
	killOwner(): void {
		if (this.owner !== undefined) {
			this.owner.isAlive = false;
			this.checker.ownerEnded(this.now);
		}
	}

	/** Delivers the list of the stored jobs that are unfinished now after a delay, so that it may be stale when it arrives. */
	deliverStaleListing(delayMs: number): void {
		const jobs = [...this.storedJobs.values()].filter(({end}) => end === undefined).map(({job}) => job);
		this.at(this.now + delayMs, () => {
			for (const job of jobs) {
				this.dispatch({type: 'job-accepted', job});
			}
		});
	}

	/** Pauses the owner's process; events that arrive meanwhile are handled afterwards. */
	pauseOwner(durationMs: number): void {
		if (this.owner !== undefined) {
			this.owner.pausedUntil = this.now + durationMs;
		}
	}

	dispatch(event: SchedulerEvent, owner: ModelledOwner | undefined = this.owner): void {
		if (owner !== undefined && owner.pausedUntil > this.now) {
			this.at(owner.pausedUntil, () => {
				this.dispatch(event, owner);
			});
			return;
		}

		if (owner?.isAlive) {
			this.#perform(owner, reduceScheduler(owner.scheduler, event, this.#eventTime()));
			if (event.type !== 'ticked') {
				this.at(this.now + 3, () => {
					this.dispatch({type: 'ticked'}, owner);
				});
			}
		}
	}

	/** Advances virtual time to `until`. */
	runUntil(until: number): void {
		this.#clock.runUntil(until);
	}

	/** Identifiers of the stored jobs without an end. */
	get unfinishedJobs(): string[] {
		return [...this.storedJobs.values()].filter(({end}) => end === undefined).map(({job}) => job.id);
	}

	#startAgain(worker: WorkerModel, downMs: number): void {
		this.at(this.now + downMs, () => {
			this.addWorker({...worker.listing, startedAtMs: this.now}, {clockStartedAt: this.now, clockRate: worker.clockRate});
		});
	}

	#eventTime(): {now: number; timeOfDay: number} {
		return {now: this.now, timeOfDay: this.now + this.wallClockOffsetMs};
	}

	#tick(owner: ModelledOwner): void {
		if (owner.isAlive) {
			this.dispatch({type: 'ticked'}, owner);
			this.at(this.now + tickIntervalMs, () => {
				this.#tick(owner);
			});
		}
	}

	#callWorker(effect: Extract<SchedulerEffect, {type: 'start' | 'stop'}>, owner: ModelledOwner, carryOut: (model: WorkerModel) => OrderAnswer): void {
		const {worker, task, run} = effect;
		const type = effect.type === 'start' ? 'start-answered' : 'stop-answered';
		this.#network.callWorker(worker, model => {
			const answer = carryOut(model);
			return () => {
				this.dispatch({
					type, worker, task, run, answer,
				}, owner);
			};
		}, {
			onTimeout: () => {
				this.dispatch({
					type, worker, task, run, answer: {outcome: 'unanswered'},
				}, owner);
			},
			transmissionMs: this.orderTransmissionMs,
		});
	}

	#perform(owner: ModelledOwner, effects: readonly SchedulerEffect[]): void {
		for (const effect of effects) {
			const handler = this.#allHandlers[effect.type] as (effect: SchedulerEffect, owner: ModelledOwner) => void;
			handler(effect, owner);
		}
	}
}
