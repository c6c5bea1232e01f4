import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {formatSection} from '../format-section.js';
import {exitCodes, type CommandOutput, PlatformCommand} from '../platform-command.js';
import {readScheduleState, type ReadResult} from '../read-schedule-state.js';

/** `rosemaryquay-fleet catalogue`: shows the catalogue, which on the platform is the configuration in force, each entry with its owner, class and limits. */
export class CatalogueCommand extends PlatformCommand {
	static override paths = [['catalogue']];
	static override usage = PlatformCommand.Usage({description: 'Show the configuration in force: queues, pools and organisations with owner, class and limits'});

	protected override async createOutput(platform: Platform): Promise<ReadResult<CommandOutput>> {
		const state = await readScheduleState(platform);
		if (!state.ok) {
			return state;
		}

		const {configuration, revision} = state.value.operatorState;
		return {
			ok: true,
			value: configuration === undefined
				? {value: {configuration: null}, lines: ['The store holds no valid configuration.'], exitCode: exitCodes.notFound}
				: {value: {revision, ...createCatalogueOutput(configuration)}, lines: [`Version ${configuration.version}, store revision ${revision}`, '', ...formatCatalogue(configuration)]},
		};
	}
}

/**
 * Creates the object that `--json` prints; its lists are the rows of the tables. The owner of a queue is the service that
 * runs its tasks. API keys are secrets: only their number is shown.
 */
function createCatalogueOutput({version, queues, pools, organisations, maximumBodyBytes}: Configuration) {
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
	const {queues, pools, organisations} = createCatalogueOutput(configuration);
	return [...formatSection('Queues', queues), ...formatSection('Pools', pools), ...formatSection('Organisations, with upper limits (0 for none)', organisations)];
}
