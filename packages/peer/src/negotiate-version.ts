/**
 * Chooses the highest protocol version that both ends of a connection support.
 *
 * @param localVersions - versions that this process supports
 * @param remoteVersions - versions that the other process supports
 * @returns the highest common version, or `undefined` when there is none
 * @example
 * negotiateVersion([1, 2], [2, 3]); // 2
 */
export function negotiateVersion(localVersions: readonly number[], remoteVersions: readonly number[]): number | undefined {
	let highest: number | undefined;
	for (const version of localVersions) {
		if (remoteVersions.includes(version) && (highest === undefined || version > highest)) {
			highest = version;
		}
	}

	return highest;
}
