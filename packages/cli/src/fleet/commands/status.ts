import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {formatSection} from '../format-section.js';
import {exitCodes, type Finding, PlatformCommand} from '../platform-command.js';
import {readFleet, type Reading} from '../read-fleet.js';

/** `rosemaryquay-fleet status`: owner of the schedule, workers, waiting jobs, withdrawn zones and waves. */
export class StatusCommand extends PlatformCommand {
	static override paths = [['status']];
	static override usage = PlatformCommand.Usage({description: 'Show the owner of the schedule, its workers, waiting jobs, withdrawn availability zones and waves of upkeep'});

	protected override async find(platform: Platform): Promise<Reading<Finding>> {
		const [view, statuses, workers] = await Promise.all([readFleet(platform), platform.store.list(platform.operatorFormat.waveStatusPrefix), platform.store.list(platform.registrationFormat.prefix)]);
		if (!view.ok) {
			return view;
		}

		if (!statuses.ok || !workers.ok) {
			return {ok: false, detail: 'waves or workers did not answer'};
		}

		const {operators, owner, ownerRevision, term, holders, waiting} = view.value;
		const completed = new Set(statuses.value.entries.map(entry => platform.operatorFormat.decodeCompletedWave(entry)));
		const listed = workers.value.entries.map(entry => platform.registrationFormat.decode(entry)).filter(worker => worker !== undefined);
		const waves = operators.waves.map(({number, instances, maximumDown, durationMs}) => ({
			wave: number, state: completed.has(number) ? 'completed' : 'open', instances: instances.length, mostDown: maximumDown, withinSeconds: durationMs / 1000,
		}));
		const pools = [...new Set(listed.map(({service}) => service))].map(pool => {
			const members = listed.filter(({service}) => service === pool);
			return {
				pool, workers: members.length, leaving: members.filter(({leaving}) => leaving).length, cpuMillis: members.reduce((sum, {capacity}) => sum + capacity.cpuMillis, 0),
			};
		});
		return {
			ok: true,
			value: {
				value: {
					owner: owner ?? null, ownerRevision, term, holders, withdrawnZones: operators.withdrawnZones, waiting: waiting ?? null, pools, waves,
				},
				lines: [
					owner === undefined ? 'Nobody owns the schedule.' : `Owner ${JSON.stringify(owner)}, term ${term}, fence ${ownerRevision}`,
					`Workers that may run tasks: ${holders.length}`,
					`Withdrawn availability zones: ${operators.withdrawnZones.join(', ') || 'none'}`,
					`Waiting jobs: ${JSON.stringify(waiting ?? {})}`,
					'',
					...formatSection('Pools', pools),
					...formatSection('Waves', waves),
				],
				...(owner === undefined && {exitCode: exitCodes.refused}),
			},
		};
	}
}
