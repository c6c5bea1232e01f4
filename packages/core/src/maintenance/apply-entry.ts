import {type Entry} from '../store/transaction.js';
import {type Planner, type PlannerEffect} from './planner.js';
import {setInstanceRecord} from './set-instance-record.js';
import {
	budgetRecordSchema, instanceRecordSchema, planRecordSchema, type Versioned,
} from './records.js';

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

function isStale(current: Versioned<unknown> | undefined, revision: number): boolean {
	return current !== undefined && current.revision >= revision;
}

/**
 * Applies a stored record to the planner. A revision at or below the known one is ignored, because answers and watch
 * events can arrive in any order. A deletion is always applied; the caller compares its revision.
 *
 * @param planner - the planner, updated in place
 * @param key - key in the store
 * @param entry - the value with its revision; `undefined` when the key is absent
 * @returns a report if the record is invalid; the last valid record stays in use
 * @example
 * applyEntry(planner, 'rosemaryquay/fleet/plan', {value, modRevision: 7});
 */
export function applyEntry(planner: Planner, key: string, entry: Pick<Entry, 'value' | 'modRevision'> | undefined): PlannerEffect[] {
	const [kind = '', name = ''] = key.slice(`${planner.prefix}fleet/`.length).split('/', 2);
	if (entry === undefined) {
		switch (kind) {
			case 'instances': {
				setInstanceRecord(planner, name, undefined);

				break;
			}

			case 'budgets': {
				planner.budgets.delete(name);

				break;
			}

			case 'plan': {
				planner.plan = undefined;

				break;
			}
		// No default
		}

		return [];
	}

	const value = parseJson(entry.value);
	const revision = entry.modRevision;
	const invalid: PlannerEffect[] = [{type: 'report', report: 'record-invalid', subject: key}];
	if (kind === 'instances') {
		const parsed = instanceRecordSchema.safeParse(value);
		if (parsed.success && !isStale(planner.instances.get(name), revision)) {
			setInstanceRecord(planner, name, {value: parsed.data, revision});
		}

		return parsed.success ? [] : invalid;
	}

	if (kind === 'budgets') {
		const parsed = budgetRecordSchema.safeParse(value);
		if (parsed.success && !isStale(planner.budgets.get(name), revision)) {
			planner.budgets.set(name, {value: parsed.data, revision});
		}

		return parsed.success ? [] : invalid;
	}

	if (kind === 'plan') {
		const parsed = planRecordSchema.safeParse(value);
		if (parsed.success && !isStale(planner.plan, revision)) {
			planner.plan = {value: parsed.data, revision};
		}

		return parsed.success ? [] : invalid;
	}

	return [];
}
