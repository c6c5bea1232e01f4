import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {formatSection} from '../format-section.js';
import {exitCodes, type CommandOutput, PlatformCommand} from '../platform-command.js';
import {type ReadResult} from '../read-schedule-state.js';
import {readView} from '../read-view.js';

/** `rosemaryquay-fleet pools`: shows size, load, forecast and moves of the pools, from the view that the owner of the schedule publishes. */
export class PoolsCommand extends PlatformCommand {
	static override paths = [['pools']];
	static override usage = PlatformCommand.Usage({description: 'Show size, load, forecast and moves of the pools'});

	protected override async createOutput(platform: Platform): Promise<ReadResult<CommandOutput>> {
		const published = await readView(platform);
		if (!published.ok) {
			return published;
		}

		const {view, problem} = published.value;
		if (view === undefined) {
			return {ok: true, value: {value: {problem}, lines: [problem], exitCode: exitCodes.notFound}};
		}

		const backlogs = new Map(view.backlogs.map(backlog => [backlog.service, backlog]));
		const pools = view.pools.map(({name, spare, instances, workers, schedulable, capacity, used, forecast, forecastError, arriving, departing, kept}) => ({
			pool: name,
			spare,
			instances,
			workers,
			schedulable,
			cores: capacity / 1000,
			usedCores: used / 1000,
			forecastCores: forecast / 1000,
			errorCores: forecastError / 1000,
			arriving,
			departing,
			kept,
			waitingJobs: backlogs.get(name)?.jobs ?? 0,
			waitingCoreSeconds: backlogs.get(name)?.work ?? 0,
		}));
		return {ok: true, value: {value: {term: view.term, pools}, lines: formatSection('Pools', pools)}};
	}
}
