import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {formatSection} from '../format-section.js';
import {formatShares} from '../format-shares.js';
import {exitCodes, type CommandOutput, PlatformCommand} from '../platform-command.js';
import {readScheduleState, type ReadResult} from '../read-schedule-state.js';
import {readView} from '../read-view.js';

/** `rosemaryquay-fleet status`: shows the owner of the schedule, workers, waiting jobs, usage against share of the organisations, withdrawn availability zones and maintenance waves. */
export class StatusCommand extends PlatformCommand {
	static override paths = [['status']];
	static override usage = PlatformCommand.Usage({description: 'Show the owner of the schedule, its workers, waiting jobs, usage against share, withdrawn availability zones and maintenance waves'});

	protected override async createOutput(platform: Platform): Promise<ReadResult<CommandOutput>> {
		const [state, published, waveStatuses, registrations] = await Promise.all([
			readScheduleState(platform),
			readView(platform),
			platform.store.list(platform.operatorFormat.waveStatusPrefix),
			platform.store.list(platform.registrationFormat.prefix),
		]);
		if (!state.ok) {
			return state;
		}

		if (!published.ok) {
			return published;
		}

		if (!waveStatuses.ok || !registrations.ok) {
			return {ok: false, detail: 'waves or workers did not answer'};
		}

		const {operatorState, owner, ownerRevision, term, holders, waiting} = state.value;
		const completed = new Set(waveStatuses.value.entries.map(entry => platform.operatorFormat.decodeCompletedWave(entry)));
		const listedWorkers = registrations.value.entries.map(entry => platform.registrationFormat.decode(entry)).filter(worker => worker !== undefined);
		const waves = operatorState.waves.map(({number, instances, maximumDown, durationMs}) => ({
			wave: number, state: completed.has(number) ? 'completed' : 'open', instances: instances.length, mostDown: maximumDown, withinSeconds: durationMs / 1000,
		}));
		// A pool has the name of the service that its workers offer.
		const pools = [...new Set(listedWorkers.map(({service}) => service))].map(pool => {
			const poolWorkers = listedWorkers.filter(({service}) => service === pool);
			return {
				pool, workers: poolWorkers.length, leaving: poolWorkers.filter(({leaving}) => leaving).length, cpuMillis: poolWorkers.reduce((sum, {capacity}) => sum + capacity.cpuMillis, 0),
			};
		});
		const {view, problem} = published.value;
		const shares = formatShares(view?.shares ?? []);
		return {
			ok: true,
			value: {
				value: {
					owner: owner ?? null, ownerRevision, term, holders, withdrawnZones: operatorState.withdrawnZones, waiting: waiting ?? null, shares, pools, waves, ...(problem !== undefined && {problem}),
				},
				lines: [
					owner === undefined ? 'Nobody owns the schedule.' : `Owner ${JSON.stringify(owner)}, term ${term}, fence ${ownerRevision}`,
					`Workers that may run tasks: ${holders.length}`,
					`Withdrawn availability zones: ${operatorState.withdrawnZones.join(', ') || 'none'}`,
					`Waiting jobs: ${JSON.stringify(waiting ?? {})}`,
					'',
					...(view === undefined ? [`Usage against share: ${problem}`, ''] : formatSection('Usage against share', shares)),
					...formatSection('Pools', pools),
					...formatSection('Waves', waves),
				],
				...(owner === undefined && {exitCode: exitCodes.notFound}),
			},
		};
	}
}
