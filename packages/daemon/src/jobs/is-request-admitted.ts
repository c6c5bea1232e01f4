/** Part of the limit from which only callers that wait for each answer are served. */
const aheadFraction = 0.25;

/**
 * Tells whether a request is served. Requests that a caller sends ahead of its answers leave most of the limit to callers
 * that wait.
 *
 * @param options - requests that are being served, limit on these, and open requests of the connection with this one
 * @returns false when the request is refused
 * @example
 * isRequestAdmitted({servedRequests: 0, maximumOpenRequests: 1024, connectionRequests: 1}); // true
 */
export function isRequestAdmitted(options: {servedRequests: number; maximumOpenRequests: number; connectionRequests: number}): boolean {
	const {servedRequests, maximumOpenRequests, connectionRequests} = options;
	return servedRequests < (connectionRequests > 1 ? maximumOpenRequests * aheadFraction : maximumOpenRequests);
}
