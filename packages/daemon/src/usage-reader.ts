/**
 * Polls the slot usage of the workers that the node sends tasks to, a few workers at a time.
 */
import {usageReadsPerRound} from '@rosemaryquay/core/constants';
import {type Usage} from '@rosemaryquay/core/node/event';
import {type Node} from '@rosemaryquay/core/node/node';
import {type Worker} from '@rosemaryquay/core/placement/placement';
import {type Host} from './host.js';

export class UsageReader {
	readonly #host: Host;
	readonly #node: Node;
	#unreadWorkers: Worker[] = [];

	constructor(options: {host: Host; node: Node}) {
		this.#host = options.host;
		this.#node = options.node;
	}

	/** Reads the usage of the next workers; a new cycle starts once all have been read. */
	async readNextBatch(): Promise<void> {
		if (this.#unreadWorkers.length === 0) {
			this.#unreadWorkers = [...this.#node.placement.subsets.values()].flatMap(({own, other}) => [...other, ...own]);
		}

		const workers = this.#unreadWorkers.splice(-usageReadsPerRound);
		const results = await Promise.all(workers.map(async worker => this.#read(worker)));
		const usage = results.filter(result => result !== undefined);
		if (usage.length > 0) {
			this.#host.dispatch({type: 'usage-reported', at: this.#host.now(), usage});
		}
	}

	async #read(worker: Worker): Promise<Usage | undefined> {
		const {id, address} = worker.instance;
		const runningSlots = await this.#host.workers.readUsage(address);
		return runningSlots === undefined ? undefined : {workerId: id, runningSlots};
	}
}
