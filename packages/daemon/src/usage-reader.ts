/**
 * Polls the slot usage of the workers that this process sends tasks to, a few workers at a time.
 */
import {usageReadsPerRound} from '@rosemaryquay/core/constants';
import {type Usage} from '@rosemaryquay/core/node/event';
import {type Node} from '@rosemaryquay/core/node/node';
import {type Worker} from '@rosemaryquay/core/placement/placement';
import {type EffectContext} from './effect-context.js';

export class UsageReader {
	readonly #context: EffectContext;
	readonly #node: Node;
	/** Workers still to be read in this cycle, last one first. */
	#unreadWorkers: Worker[] = [];

	constructor(options: {context: EffectContext; node: Node}) {
		this.#context = options.context;
		this.#node = options.node;
	}

	/** Reads the usage of the next workers; a new cycle starts once all have been read. */
	async readNextBatch(): Promise<void> {
		if (this.#unreadWorkers.length === 0) {
			// Workers of the own availability zone stand at the end, so that they are read first.
			this.#unreadWorkers = [...this.#node.placement.subsets.values()].flatMap(({own, other}) => [...other, ...own]);
		}

		const workers = this.#unreadWorkers.splice(-usageReadsPerRound);
		const results = await Promise.all(workers.map(async worker => this.#read(worker)));
		const usage = results.filter(result => result !== undefined);
		if (usage.length > 0) {
			this.#context.dispatch({type: 'usage-reported', at: this.#context.now(), usage});
		}
	}

	async #read(worker: Worker): Promise<Usage | undefined> {
		const {id, address} = worker.instance;
		const runningSlots = await this.#context.workers.readUsage(address);
		return runningSlots === undefined ? undefined : {workerId: id, runningSlots};
	}
}
