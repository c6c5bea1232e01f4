import {type Configuration} from '@rosemaryquay/core/jobs/configuration-schema';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {formatSection} from '../format-section.js';
import {exitCodes, type Finding, PlatformCommand} from '../platform-command.js';
import {readFleet, type Reading} from '../read-fleet.js';

/** `rosemaryquay-fleet catalogue`: the configuration in force, every entry with its owner, class and limits. */
export class CatalogueCommand extends PlatformCommand {
	static override paths = [['catalogue']];
	static override usage = PlatformCommand.Usage({description: 'Show the configuration in force: queues, pools and organisations with owner, class and limits'});

	protected override async find(platform: Platform): Promise<Reading<Finding>> {
		const view = await readFleet(platform);
		if (!view.ok) {
			return view;
		}

		const {configuration, revision} = view.value.operators;
		return {
			ok: true,
			value: configuration === undefined
				? {value: {configuration: null}, lines: ['The store holds no valid configuration.'], exitCode: exitCodes.refused}
				: {value: {revision, ...describeCatalogue(configuration)}, lines: [`Version ${configuration.version}, store revision ${revision}`, '', ...formatCatalogue(configuration)]},
		};
	}
}

/** Keys are secrets; only their number is shown. */
function describeCatalogue({version, queues, pools, organisations, maximumBodyBytes}: Configuration) {
	return {
		version,
		maximumBodyBytes,
		queues: queues.map(({name, host, pathPrefix, service, priority, maximumAttempts, stretch, targetLatencyMs, openToAll}) => ({
			queue: name, owner: service, path: `${host}${pathPrefix}`, class: priority, attempts: maximumAttempts, stretch, targetMs: targetLatencyMs, openToAll,
		})),
		pools: pools.map(({name, spare, guardsCapacity}) => ({pool: name, spare, guardsCapacity})),
		organisations: organisations.map(({name, keys, weight, limit}) => ({
			organisation: name, keys: keys.length, weight, cpuMillis: limit.cpuMillis, memoryMb: limit.memoryMb, accelerators: limit.accelerators,
		})),
	};
}

function formatCatalogue(configuration: Configuration): string[] {
	const {queues, pools, organisations} = describeCatalogue(configuration);
	return [...formatSection('Queues', queues), ...formatSection('Pools', pools), ...formatSection('Organisations, with upper limits (0 for none)', organisations)];
}
