type Candidate = {readonly openRequests: number; readonly waitingBytes: number; readonly isServing: boolean};

const measures = {
	'most-open-requests': ({openRequests}: Candidate) => openRequests,
	'most-waiting-bytes': ({waitingBytes}: Candidate) => waitingBytes,
};

/** The largest measure of a caller that waits for each answer; only connections above it are closed. */
const ordinaryMeasures = {'most-open-requests': 1, 'most-waiting-bytes': 0};

type Rule = 'not-serving' | keyof typeof measures;

/**
 * Chooses the connection to close when a limit is exceeded. `not-serving` finds the first one without a complete request
 * that waits for its answer; `most-open-requests` and `most-waiting-bytes` find the one that uses most.
 *
 * @param connections - open connections, the one that was active least recently first
 * @param rule - what to look for
 * @returns the connection; undefined if there is none of that kind
 * @example
 * chooseConnection(connections, 'not-serving')?.destroy();
 */
export function chooseConnection<Connection extends Candidate>(connections: Iterable<Connection>, rule: Rule): Connection | undefined {
	let chosen: Connection | undefined;
	for (const connection of connections) {
		if (rule === 'not-serving') {
			if (!connection.isServing) {
				return connection;
			}

			continue;
		}

		if (measures[rule](connection) > (chosen === undefined ? ordinaryMeasures[rule] : measures[rule](chosen))) {
			chosen = connection;
		}
	}

	return chosen;
}
