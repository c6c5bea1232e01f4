/**
 * In-memory model of the platform's pools as the maintenance planner sees them: actions take time and are idempotent by (instance, generation).
 * Callers pass the time, so that the model works under the HTTP stand-in and on virtual time.
 */
import {type ActionName, type ActionState} from '@rosemaryquay/core/maintenance/planner';
import {type ListedInstance} from '@rosemaryquay/core/node/event';

/** Injected fault of an instance. */
export type InstanceFault = 'never-returns' | 'fails-after-reboot';

export type ModelInstance = {
	readonly id: string;
	readonly zone: string;
	readonly rack: string;
	pool: string;
	/** The instance has failed and is missing from the list. */
	down: boolean;
	drained: boolean;
	fault?: InstanceFault;
	current?: {readonly generation: number; readonly action: ActionName; readonly endsAt: number; readonly target?: string; ended: boolean; failed: boolean};
};

/** Time that an action takes on an instance, in milliseconds. */
export type ActionTime = (instance: ModelInstance, action: ActionName, generation: number) => number;

export class PoolsModel {
	readonly instances = new Map<string, ModelInstance>();
	/** Number of actions that took effect, by name. */
	readonly effects: Record<ActionName, number> = {
		drain: 0, undrain: 0, reboot: 0, move: 0,
	};

	readonly #actionTime: ActionTime;
	readonly #listed = new Map<string, ListedInstance>();
	/** Instances with an action under way. */
	readonly #active = new Set<string>();

	constructor(options: {actionTime?: ActionTime} = {}) {
		this.#actionTime = options.actionTime ?? (() => 0);
	}

	add(instance: {id: string; zone: string; rack: string; pool: string}): ModelInstance {
		const added: ModelInstance = {...instance, down: false, drained: false};
		this.instances.set(instance.id, added);
		this.#updateListing(added);
		return added;
	}

	perform(id: string, action: ActionName, options: {generation: number; now: number; target?: string}): ActionState {
		const {generation, now, target} = options;
		const instance = this.instances.get(id);
		if (instance === undefined) {
			return 'failed';
		}

		this.#completeIfDue(instance, now);
		const {current} = instance;
		if (current !== undefined && generation <= current.generation) {
			return generation === current.generation ? this.read(id, {generation, now}) : 'superseded';
		}

		this.effects[action] += 1;
		const endsAt = action === 'reboot' && instance.fault === 'never-returns' ? Number.POSITIVE_INFINITY : now + this.#actionTime(instance, action, generation);
		instance.current = {
			generation, action, endsAt, ended: false, failed: action === 'reboot' && instance.fault === 'fails-after-reboot', ...(target !== undefined && {target}),
		};
		instance.drained ||= action === 'drain';
		this.#active.add(id);
		this.#updateListing(instance);
		this.#completeIfDue(instance, now);
		return this.read(id, {generation, now});
	}

	read(id: string, options: {generation: number; now: number}): ActionState {
		const {generation, now} = options;
		const instance = this.instances.get(id);
		if (instance === undefined) {
			return 'failed';
		}

		this.#completeIfDue(instance, now);
		const {current} = instance;
		if (current === undefined || current.generation < generation) {
			return 'absent';
		}

		if (current.generation > generation) {
			return 'superseded';
		}

		return current.ended ? (current.failed ? 'failed' : 'done') : 'running';
	}

	/** Takes an instance down or brings it back; it is missing from the list while it is down. */
	setDown(id: string, down: boolean): void {
		const instance = this.instances.get(id);
		if (instance !== undefined) {
			instance.down = down;
			this.#updateListing(instance);
		}
	}

	remove(id: string): void {
		this.instances.delete(id);
		this.#listed.delete(id);
		this.#active.delete(id);
	}

	list(now: number): ListedInstance[] {
		for (const id of this.#active) {
			const instance = this.instances.get(id);
			if (instance !== undefined) {
				this.#completeIfDue(instance, now);
			}
		}

		return [...this.#listed.values()];
	}

	/** Updates the list at each change instead of building it on each call, because experiments often list 17,000 instances. */
	#updateListing({
		id, zone, rack, pool, drained, down,
	}: ModelInstance): void {
		if (down) {
			this.#listed.delete(id);
			return;
		}

		this.#listed.set(id, {
			id, address: `http://127.0.0.1:1/${id}`, zone, rack, pool, state: drained ? 'leaving' : 'live',
		});
	}

	#completeIfDue(instance: ModelInstance, now: number): void {
		const {current} = instance;
		if (current === undefined || current.ended || now < current.endsAt) {
			return;
		}

		current.ended = true;
		this.#active.delete(instance.id);
		if (current.action === 'move' && current.target !== undefined) {
			instance.pool = current.target;
		} else if (current.action === 'undrain') {
			instance.drained = false;
		}

		this.#updateListing(instance);
	}
}
