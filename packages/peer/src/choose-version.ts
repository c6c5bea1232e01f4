/**
 * Chooses the protocol version of a connection.
 *
 * @param ours - versions that this process speaks
 * @param theirs - versions that the other process speaks
 * @returns the highest common version, or `undefined`
 * @example
 * chooseVersion([1, 2], [2, 3]); // 2
 */
export function chooseVersion(ours: readonly number[], theirs: readonly number[]): number | undefined {
	let best: number | undefined;
	for (const version of ours) {
		if (theirs.includes(version) && (best === undefined || version > best)) {
			best = version;
		}
	}

	return best;
}
