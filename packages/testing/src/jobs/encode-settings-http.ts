/**
 * Encodes the settings file of a process on loopback as the platform writes it.
 *
 * @param options - name of the instance, addresses (host and port) and the longest time to shut down, in seconds
 * @returns content of the file
 * @example
 * encodeSettings({instance: 'entry-1', callers, readiness, metrics, store, instances, shutdownSeconds: 6});
 */
export function encodeSettings(options: {instance: string; callers: string; readiness: string; metrics: string; store: string; instances: string; shutdownSeconds: number}): string {
	const {instance, callers, readiness, metrics, store, instances, shutdownSeconds} = options;
	return JSON.stringify({
		node_name: instance,
		ip: '127.0.0.1',
		zone: 'east',
		listen: {front: callers, ready: readiness, metrics},
		limits: {cpu_share: 1, cores: 1, link_mbps: 1000},
		bounds: {grace_s: shutdownSeconds, revoke_ms: 5000, stop_ms: 400},
		platform: {address: store},
		cloud: {address: instances},
	});
}
