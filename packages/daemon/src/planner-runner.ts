/**
 * Runs the maintenance planner, separately from the handling of requests. Several processes may run one; only the holder of the planner lease acts.
 */
import {setTimeout as delay} from 'node:timers/promises';
import {createPlanner} from '@rosemaryquay/core/maintenance/create-planner';
import {listPoolRules} from '@rosemaryquay/core/maintenance/list-pool-rules';
import {type Planner, type PlannerEvent} from '@rosemaryquay/core/maintenance/planner';
import {reducePlanner} from '@rosemaryquay/core/maintenance/reduce-planner';
import {type MaintenanceSettings} from '@rosemaryquay/core/maintenance/settings';
import {type ListedInstance} from '@rosemaryquay/core/node/event';
import {type Node} from '@rosemaryquay/core/node/node';
import {performPlannerEffect, type PlannerHost} from '@rosemaryquay/platform/perform-planner-effect';
import {HttpInstanceActions, type InstanceActions} from '@rosemaryquay/platform/instance-actions';
import {type Host} from './host.js';

const tickIntervalMs = 1000;
const watchRetryMs = 1000;

export class PlannerRunner {
	readonly #host: Host;
	readonly #node: Node;
	readonly #planner: Planner;
	readonly #poolActions: InstanceActions;
	readonly #plannerHost: PlannerHost;
	readonly #abortController = new AbortController();
	#loadedRevision = -1;
	#stopWatch: (() => void) | undefined;

	constructor(options: {host: Host; node: Node; settings: MaintenanceSettings & {poolActions: {url: string}}}) {
		const {host, node, settings} = options;
		this.#host = host;
		this.#node = node;
		const {poolActions, weights: _weights, ...plannerSettings} = settings;
		this.#planner = createPlanner({id: node.id, prefix: host.prefix, settings: plannerSettings});
		this.#poolActions = new HttpInstanceActions({url: poolActions.url});
		this.#plannerHost = {
			store: host.store,
			actions: this.#poolActions,
			now: () => host.now(),
			dispatch: event => {
				this.#dispatch(event);
			},
			report({report, subject}) {
				host.metrics.count(`fleet.${report}`);
				host.logger.log(`fleet-${report}`, {subject});
			},
		};
	}

	/** Sends ticks to the planner until it is stopped. */
	async run(): Promise<void> {
		const {signal} = this.#abortController;
		void this.#watch();
		while (!signal.aborted) {
			this.#updateRules();
			this.#dispatch({type: 'tick', at: this.#host.now(), utcMs: Date.now()});
			await delay(tickIntervalMs, undefined, {signal}).catch(() => undefined);
		}
	}

	/** Passes a new instance list to the planner. */
	updateInstances(instances: readonly ListedInstance[]): void {
		this.#dispatch({type: 'instances-listed', at: this.#host.now(), instances});
	}

	async stop(): Promise<void> {
		this.#abortController.abort();
		this.#stopWatch?.();
		await this.#poolActions.close();
	}

	/** Passes the rules of the pools to the planner when the catalogue has a new revision. */
	#updateRules(): void {
		const {snapshot} = this.#node;
		if (snapshot.revision === this.#loadedRevision) {
			return;
		}

		this.#loadedRevision = snapshot.revision;
		const withdrawn = Object.entries(snapshot.catalogue.zones).filter(([, zone]) => zone.withdrawn).map(([name]) => name);
		this.#dispatch({
			type: 'rules-loaded', at: this.#host.now(), pools: listPoolRules(snapshot.catalogue), withdrawn: new Set(withdrawn),
		});
	}

	/** Watches the fleet records and passes changes on; the planner lists the records itself when it acquires its lease. */
	async #watch(): Promise<void> {
		const prefix = `${this.#host.prefix}fleet/`;
		const listing = await this.#host.store.list(prefix);
		if (this.#abortController.signal.aborted) {
			return;
		}

		if (!listing.ok) {
			this.#scheduleWatchRetry();
			return;
		}

		this.#dispatch({type: 'records-changed', at: this.#host.now(), changes: listing.value.entries});
		this.#stopWatch = this.#host.store.watch(prefix, listing.value.revision + 1, report => {
			if (report.type === 'changed') {
				this.#dispatch({type: 'records-changed', at: this.#host.now(), changes: report.changes});
			} else {
				this.#scheduleWatchRetry();
			}
		});
	}

	#scheduleWatchRetry(): void {
		setTimeout(() => {
			void this.#watch();
		}, watchRetryMs).unref();
	}

	#dispatch(event: PlannerEvent): void {
		for (const effect of reducePlanner(this.#planner, event)) {
			void performPlannerEffect(this.#plannerHost, effect);
		}
	}
}
