import {type View, viewSchema} from '@rosemaryquay/core/jobs/views/view-schema';
import {ownerKey, termKey, viewKey} from '@rosemaryquay/daemon/jobs/keys';
import {parseStoredValue} from '@rosemaryquay/daemon/jobs/parse-stored-value';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {type ReadResult} from './read-schedule-state.js';

/** The view of the schedule, or why there is none in force. */
export type PublishedView = {readonly view: View; readonly problem?: undefined} | {readonly view?: undefined; readonly problem: string};

/**
 * Reads the view that the owner of the schedule has published. The view of a former owner is not in force.
 *
 * @param platform - the platform
 * @returns the view or why there is none, or why the store could not be read
 * @example
 * const published = await readView(platform);
 */
export async function readView(platform: Platform): Promise<ReadResult<PublishedView>> {
	const values = new Map<string, string>();
	for (const listing of await Promise.all([ownerKey, termKey, viewKey].map(async key => platform.store.list(key)))) {
		if (!listing.ok) {
			return {ok: false, detail: listing.detail ?? listing.reason};
		}

		for (const {key, value} of listing.value.entries) {
			values.set(key, value);
		}
	}

	return {ok: true, value: judgeView(values)};
}

function judgeView(values: ReadonlyMap<string, string>): PublishedView {
	const stored = values.get(viewKey);
	const term = Number(values.get(termKey) ?? 0);
	if (!values.has(ownerKey)) {
		return {problem: 'Nobody owns the schedule, so no view of it is in force.'};
	}

	if (stored === undefined) {
		return {problem: 'The owner of the schedule has not published a view yet.'};
	}

	const view = parseStoredValue(viewSchema, stored);
	if (view === undefined) {
		return {problem: 'The published view can\'t be read; the owner of the schedule may run another version.'};
	}

	return view.term === term ? {view} : {problem: `The published view is of term ${view.term}, and the owner of term ${term} has not published one yet.`};
}
