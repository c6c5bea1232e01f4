/** An organisation, with keys and an upper limit in thousandths of a core (0: none). */
export type ConfiguredOrganisation = {readonly name: string; readonly keys: readonly string[]; readonly weight?: number; readonly limitCpuMillis?: number};

/**
 * Encodes a configuration with one queue as the platform's operators publish it.
 *
 * @param options - version and organisations
 * @returns the value of the configuration's entry in the store
 * @example
 * encodeConfiguration({version: 1, organisations: [{name: 'north', keys: ['key-north']}]});
 */
export function encodeConfiguration(options: {version: number; organisations: readonly ConfiguredOrganisation[]}): string {
	const {version, organisations} = options;
	return JSON.stringify({
		version,
		routes: [{
			name: 'plans', host: 'jobs.example', prefix: '/plans/', service: 'planner', max_attempts: 3, stretch: 1.6, target_latency_ms: 600, priority: 0, allow_anonymous: false,
		}],
		services: [{name: 'planner', enforces_capacity: true, spare: false}],
		limits: {max_body_bytes: 65_536},
		tenants: organisations.map(({name, keys, weight = 1, limitCpuMillis = 0}) => ({
			name, api_keys: keys, weight, max_count: {cpu: limitCpuMillis, mem_mb: 0, gpu: 0},
		})),
	});
}
