/**
 * Reads the usage of the workers that the node sends to, a few in each round.
 */
import {usageReadsPerRound} from '@rosemaryquay/core/constants';
import {type Usage} from '@rosemaryquay/core/node/event';
import {type Node} from '@rosemaryquay/core/node/node';
import {type Worker} from '@rosemaryquay/core/placement/placement';
import {type Host} from './host.js';

export class UsageReader {
	readonly #host: Host;
	readonly #node: Node;
	#remaining: Worker[] = [];

	constructor(options: {host: Host; node: Node}) {
		this.#host = options.host;
		this.#node = options.node;
	}

	/** Reads the next workers in turn. */
	async readRound(): Promise<void> {
		if (this.#remaining.length === 0) {
			this.#remaining = [...this.#node.placement.subsets.values()].flatMap(({own, other}) => [...other, ...own]);
		}

		const workers = this.#remaining.splice(-usageReadsPerRound);
		const reports = await Promise.all(workers.map(async worker => this.#read(worker)));
		const usage = reports.filter(report => report !== undefined);
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
