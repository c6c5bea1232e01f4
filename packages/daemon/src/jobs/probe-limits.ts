import {type ConnectionLimits} from './connection-limiter.js';

/** Limits of the servers for readiness and metrics. A load balancer and a few scrapers have one connection each, and one request at a time. */
export const probeLimits: ConnectionLimits & {readonly maximumHeadBytes: number} = {
	maximumConnections: 64, maximumOpenRequests: 128, maximumOpenRequestsPerConnection: 1, maximumWaitingBytes: 1024 * 1024, maximumHeadBytes: 4096,
};
