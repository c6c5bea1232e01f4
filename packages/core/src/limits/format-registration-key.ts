/**
 * Formats the key of one registration of a member. The reclaim delay is tracked by this key, so that
 * the delay of an earlier registration does not apply to a member that has registered again.
 *
 * @param id - identifier of the member
 * @param registration - its registration
 * @returns the key
 * @example
 * formatRegistrationKey('entry-1', '77'); // 'entry-1/77'
 */
export function formatRegistrationKey(id: string, registration: string): string {
	return `${id}/${registration}`;
}
