import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type AcceptedCatalogue} from '@rosemaryquay/core/catalogue/catalogue-state';
import {parseHead} from '@rosemaryquay/core/catalogue/parse-head';
import {isFresh} from '@rosemaryquay/core/freshness/is-fresh';
import {checkBound} from '../check-bound.js';
import {
	type ControlSimulation, prefix, findRevisionInForce, startControlSimulation,
} from '../control-simulation.js';
import {type Experiment} from '../experiment.js';
import {listUsers, loadUser, type User} from '../load-user.js';

const seedsPerUser = 3;
const runMs = 30_000;
const settleMs = 10_000;
const probeIntervalMs = 10;

/** Time within which an accepted configuration must be in force at every instance. */
const maximumPropagationMs = 3000;

type SubmittedEdit = {readonly requestId: string; readonly path: string; readonly baseRevision: number};

type Outcome = {
	lower: number;
	startedBehind: number;
	lost: number;
	accepted: number;
	conflicts: number;
	unresolved: number;
	disagreeing: number;
	corrections: number;
	/** Longest time for which a reachable store showed an older head than an instance had in force. */
	heldBackMs: number;
};

class Run {
	revisionDecreases = 0;
	/** Probes at which a fresh instance had a lower revision than one that was in force everywhere. */
	readyBelowInForce = 0;
	longestStaleHeadMs = 0;
	readonly simulation: ControlSimulation;
	readonly user: User;
	readonly edits: SubmittedEdit[] = [];
	readonly #random;
	readonly #revisionByNode = new Map<string, number>();
	readonly #zones: readonly string[];
	readonly #catalogueByNode = new Map<string, AcceptedCatalogue>();
	readonly #replacedEdits = new Map<string, string>();
	#revisionInForce = 0;
	#highestRevision = 0;
	#staleHeadSince: number | undefined;
	#startedProcesses = 0;

	constructor(user: User, seed: number) {
		this.user = user;
		this.simulation = startControlSimulation(user, {seed, dropProbability: 0.05});
		this.#random = xoroshiro128plus(seed);
		this.#zones = user.fleet.zones;
		this.simulation.staleReadProbability = 0.1;
		this.simulation.captureListings();
	}

	execute(): void {
		const begin = this.simulation.now;
		this.#scheduleEvery(begin, 150, () => {
			this.#submitConcurrentEdits();
		});
		this.#scheduleEvery(begin, 3000, () => {
			this.simulation.captureListings();
		});
		this.#scheduleEvery(begin, 5000, () => {
			this.#replaceInstance();
		});
		this.#scheduleEvery(begin, 9000, () => {
			this.#restoreStore();
		});
		this.#scheduleEvery(begin, 4000, () => {
			if (this.simulation.storeCondition.down !== true) {
				this.simulation.storeCondition = {lostResponseProbability: this.simulation.chance(0.5) ? 0.2 : 0};
			}
		});
		const checkPeriodically = (): void => {
			this.#checkRevisions();
			this.simulation.after(probeIntervalMs, checkPeriodically);
		};

		checkPeriodically();
		this.simulation.at(begin + runMs, () => {
			this.simulation.staleReadProbability = 0;
			this.simulation.storeCondition = {};
		});
		this.simulation.run(begin + runMs + settleMs);
	}

	evaluate(): Outcome {
		const [first] = this.simulation.nodes.values();
		const entries = first?.catalogue.accepted.entries;
		const results = this.edits.map(edit => ({...edit, answer: this.simulation.edits.get(edit.requestId)}));
		const accepted = results.filter(({answer}) => answer?.result.type === 'accepted');
		let lost = 0;
		for (const {requestId, path} of accepted) {
			const entry = entries?.get(path);
			// An edit is not lost if a later edit that was based on it replaced it.
			if (entry === undefined || !this.#descendsFrom(entry.requestId, requestId)) {
				lost += 1;
			}
		}

		const revisions = new Set<string>();
		for (const {snapshot, catalogue} of this.simulation.nodes.values()) {
			const requestIds = [...catalogue.accepted.entries.values()].map(entry => entry.requestId);
			revisions.add(JSON.stringify([snapshot.revision, requestIds.toSorted()]));
		}

		const count = (type: string): number => results.filter(({answer}) => answer?.result.type === type).length;
		return {
			lower: this.revisionDecreases,
			startedBehind: this.readyBelowInForce,
			lost,
			accepted: accepted.length,
			conflicts: count('conflict'),
			unresolved: results.length - accepted.length - count('conflict'),
			disagreeing: revisions.size - 1,
			heldBackMs: this.longestStaleHeadMs,
			corrections: this.simulation.counters.get('catalogue.corrected') ?? 0,
		};
	}

	#scheduleEvery(begin: number, intervalMs: number, run: () => void): void {
		for (let at = begin + intervalMs; at < begin + runMs; at += intervalMs) {
			this.simulation.at(at, run);
		}
	}

	/** Submits concurrent edits of the same entry by two operators, each through a random instance. */
	#submitConcurrentEdits(): void {
		const names = Object.keys(this.user.catalogue.teams);
		const name = names[this.#randomIndex(names.length)] ?? '';
		for (let operator = 0; operator < 2; operator++) {
			const ids = [...this.simulation.nodes.keys()];
			const node = ids[this.#randomIndex(ids.length)] ?? '';
			const requestId = `edit-${this.edits.length}`;
			const baseRevision = findRevisionInForce(this.simulation, node);
			this.edits.push({requestId, path: `teams/${name}`, baseRevision});
			this.simulation.deliver(node, {
				type: 'edit-requested', edit: {
					requestId,
					operator: `operator-${operator}`,
					section: 'teams',
					name,
					value: {...this.user.catalogue.teams[name], share: 1 + (this.edits.length % 1000)},
					baseRevision,
				},
			});
		}
	}

	#replaceInstance(): void {
		const ids = [...this.simulation.nodes.keys()];
		const old = ids[this.#randomIndex(ids.length)] ?? '';
		this.simulation.stop(old);
		this.simulation.nodes.delete(old);
		this.#startedProcesses += 1;
		this.simulation.startNode(`new-${this.#startedProcesses}`, this.user, {zone: this.#zones[this.#startedProcesses % this.#zones.length] ?? '', seed: this.#startedProcesses});
	}

	/** After an outage of one second, restores the store from a backup taken one to two seconds before the outage; a process starts at the same moment. */
	#restoreStore(): void {
		const {simulation} = this;
		const backup = simulation.store.snapshot();
		simulation.after(1000 + this.#randomIndex(1000), () => {
			simulation.storeCondition = {down: true};
			simulation.after(1000, () => {
				simulation.store.restore(backup);
				simulation.storeCondition = {};
				this.#replaceInstance();
			});
		});
	}

	#checkRevisions(): void {
		let lowest = Number.POSITIVE_INFINITY;
		for (const [id, node] of this.simulation.nodes) {
			const {revision} = node.snapshot;
			if (revision < (this.#revisionByNode.get(id) ?? 0)) {
				this.revisionDecreases += 1;
			}

			if (isFresh(node, this.simulation.now) && revision < this.#revisionInForce) {
				this.readyBelowInForce += 1;
			}

			if (this.#catalogueByNode.get(id) !== node.catalogue.accepted) {
				this.#catalogueByNode.set(id, node.catalogue.accepted);
				this.#recordHistory(node.catalogue.accepted);
			}

			this.#revisionByNode.set(id, revision);
			lowest = Math.min(lowest, revision);
			this.#highestRevision = Math.max(this.#highestRevision, revision);
		}

		const head = parseHead(this.simulation.store.entries.get(`${prefix}catalogue/head`)?.value);
		if (head < this.#highestRevision && this.simulation.storeCondition.down !== true) {
			this.#staleHeadSince ??= this.simulation.now;
			this.longestStaleHeadMs = Math.max(this.longestStaleHeadMs, this.simulation.now - this.#staleHeadSince);
		} else {
			this.#staleHeadSince = undefined;
		}

		this.#revisionInForce = Math.max(this.#revisionInForce, lowest);
	}

	/** Records which edit each edit of an entry replaced. */
	#recordHistory(accepted: AcceptedCatalogue): void {
		for (const {requestId, earlier} of accepted.entries.values()) {
			let later = requestId;
			for (const replaced of earlier) {
				this.#replacedEdits.set(later, replaced);
				later = replaced;
			}
		}
	}

	#descendsFrom(last: string, requestId: string): boolean {
		let current: string | undefined = last;
		while (current !== undefined && current !== requestId) {
			current = this.#replacedEdits.get(current);
		}

		return current !== undefined;
	}

	#randomIndex(size: number): number {
		return uniformInt(this.#random, 0, size - 1);
	}
}

/** Counts lower revisions applied and accepted edits lost, with stale reads, replaced instances, a restored store and concurrent edits by operators. */
export const neverReverts: Experiment = {
	summary: 'Lower revisions applied and accepted edits lost, over seeds and faults',
	run({seed}) {
		const details: Record<string, Outcome[]> = {};
		for (const name of listUsers()) {
			const user = loadUser(name);
			details[name] = Array.from({length: seedsPerUser}, (_, index) => {
				const run = new Run(user, (seed * 100) + index);
				run.execute();
				return run.evaluate();
			});
		}

		const sum = (measure: keyof Outcome): number => {
			let total = 0;
			for (const outcome of Object.values(details).flat()) {
				total += outcome[measure];
			}

			return total;
		};

		const target = {comparison: 'atMost', limit: 0} as const;
		return {
			bounds: [
				checkBound('lower revisions applied by a process', sum('lower'), {...target, unit: 'probes'}),
				// Guards against a new process that starts work under the old head of a restored store.
				checkBound('processes ready with a revision below one that was in force everywhere', sum('startedBehind'), {...target, unit: 'probes'}),
				checkBound('accepted edits lost', sum('lost'), {...target, unit: 'edits'}),
				checkBound('instances that disagree at the end', sum('disagreeing'), {...target, unit: 'instances'}),
				// Guards against members that block each other, or themselves, when they write lost entries back to the store.
				checkBound('longest time that a reachable store shows an older head', Math.max(...Object.values(details).flat().map(outcome => outcome.heldBackMs)), {comparison: 'atMost', limit: maximumPropagationMs, unit: 'ms'}),
				checkBound('edits accepted', sum('accepted'), {comparison: 'atLeast', limit: 1, unit: 'edits'}),
			],
			baselines: [],
			details,
		};
	},
};
