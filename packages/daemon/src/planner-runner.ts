/**
 * Runs the maintenance planner, separately from the handling of requests. Several processes may run a planner; only the holder of the planner lease acts.
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
import {type EffectContext} from './effect-context.js';

const plannerTickIntervalMs = 1000;
const watchRetryDelayMs = 1000;

export class PlannerRunner {
	readonly #context: EffectContext;
	readonly #node: Node;
	readonly #planner: Planner;
	readonly #poolActions: InstanceActions;
	readonly #plannerHost: PlannerHost;
	readonly #abortController = new AbortController();
	#loadedRevision = -1;
	#stopWatch: (() => void) | undefined;

	constructor(options: {context: EffectContext; node: Node; settings: MaintenanceSettings & {poolActions: {url: string}}}) {
		const {context, node, settings} = options;
		this.#context = context;
		this.#node = node;
		// The weights serve only the plans that operators request.
		const {poolActions, weights: _weights, ...plannerSettings} = settings;
		this.#planner = createPlanner({id: node.id, prefix: context.prefix, settings: plannerSettings});
		this.#poolActions = new HttpInstanceActions({url: poolActions.url});
		this.#plannerHost = {
			store: context.store,
			actions: this.#poolActions,
			now: () => context.now(),
			dispatch: event => {
				this.#dispatch(event);
			},
			report({report, subject}) {
				context.metrics.count(`fleet.${report}`);
				context.logger.log(`fleet-${report}`, {subject});
			},
		};
	}

	/** Runs the planner until `stop` is called: watches the fleet records, and passes on ticks and changes of the catalogue. */
	async run(): Promise<void> {
		const {signal} = this.#abortController;
		void this.#watch();
		while (!signal.aborted) {
			this.#updateRules();
			this.#dispatch({type: 'tick', at: this.#context.now(), utcMs: Date.now()});
			await delay(plannerTickIntervalMs, undefined, {signal}).catch(() => undefined);
		}
	}

	/** Passes a new instance list to the planner. */
	updateInstances(instances: readonly ListedInstance[]): void {
		this.#dispatch({type: 'instances-listed', at: this.#context.now(), instances});
	}

	async stop(): Promise<void> {
		this.#abortController.abort();
		this.#stopWatch?.();
		await this.#poolActions.close();
	}

	/** Passes the pool rules and the withdrawn availability zones to the planner when the catalogue has a new revision. */
	#updateRules(): void {
		const {snapshot} = this.#node;
		if (snapshot.revision === this.#loadedRevision) {
			return;
		}

		this.#loadedRevision = snapshot.revision;
		const withdrawnZones = Object.entries(snapshot.catalogue.zones).filter(([, zone]) => zone.withdrawn).map(([name]) => name);
		this.#dispatch({
			type: 'rules-loaded', at: this.#context.now(), pools: listPoolRules(snapshot.catalogue), withdrawn: new Set(withdrawnZones),
		});
	}

	/** Watches the fleet records and passes changes on; the planner lists the records itself when it acquires its lease. */
	async #watch(): Promise<void> {
		const prefix = `${this.#context.prefix}fleet/`;
		const listing = await this.#context.store.list(prefix);
		if (this.#abortController.signal.aborted) {
			return;
		}

		if (!listing.ok) {
			this.#scheduleWatchRetry();
			return;
		}

		this.#dispatch({type: 'records-changed', at: this.#context.now(), changes: listing.value.entries});
		this.#stopWatch = this.#context.store.watch(prefix, listing.value.revision + 1, report => {
			if (report.type === 'changed') {
				this.#dispatch({type: 'records-changed', at: this.#context.now(), changes: report.changes});
			} else {
				this.#scheduleWatchRetry();
			}
		});
	}

	#scheduleWatchRetry(): void {
		setTimeout(() => {
			void this.#watch();
		}, watchRetryDelayMs).unref();
	}

	#dispatch(event: PlannerEvent): void {
		for (const effect of reducePlanner(this.#planner, event)) {
			void performPlannerEffect(this.#plannerHost, effect);
		}
	}
}
