/**
 * Names a member under one registration. The wait before a reclaim is kept by this name, so that a
 * member that registered again is not reclaimed by the wait for its earlier registration.
 *
 * @param id - identifier of the member
 * @param registration - its registration
 * @returns the name
 * @example
 * describeRegistration('entry-1', '77'); // 'entry-1/77'
 */
export function describeRegistration(id: string, registration: string): string {
	return `${id}/${registration}`;
}
