import {type Platform} from '@rosemaryquay/daemon/jobs/ports';

/** Key of the record by which jobs are refused for load. */
const admissionKey = 'rosemaryquay/admission';

/**
 * Reads the record by which entry instances refuse jobs for load, as it is stored. It is shown to operators unchanged.
 *
 * @param platform - the platform
 * @returns the record; undefined if there is none or it can't be read
 * @example
 * const record = await readAdmissionRecord(platform);
 */
export async function readAdmissionRecord(platform: Platform): Promise<unknown> {
	const listing = await platform.store.list(admissionKey);
	const value = listing.ok ? listing.value.entries.find(({key}) => key === admissionKey)?.value : undefined;
	try {
		return value === undefined ? undefined : JSON.parse(value) as unknown;
	} catch {
		return undefined;
	}
}
