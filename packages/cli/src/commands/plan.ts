import {writeFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {MaintenanceCommand} from '../maintenance-command.js';

/** Expected schedule and cost of a plan. */
type Forecast = {
	/** `headroom`: number of further instances that may fail before the pool exceeds its budget. `startsAt`, `endsAt`: milliseconds since the epoch. */
	readonly pools: ReadonlyArray<{readonly pool: string; readonly waves: number; readonly concurrency: number; readonly headroom: number; readonly moves: number; readonly startsAt: number; readonly endsAt: number}>;
	/** Pools that cannot be planned: they have neither a budget nor spare instances, or no time outside their peak hours. */
	readonly blocked: readonly string[];
	/** Number of instances whose maintenance is due before their pool is expected to finish, and all instances of blocked pools. */
	readonly late: number;
	/** `bufferHours`: instance-hours out of service. `rollOutHours`: duration in hours. `total`: weighted sum of the three, without a unit. */
	readonly cost: {readonly bufferHours: number; readonly rollOutHours: number; readonly moves: number; readonly total: number};
};

function formatTime(utcMs: number): string {
	return new Date(utcMs).toISOString().slice(0, 16);
}

function describeForecast({pools, blocked, late, cost}: Forecast): string {
	const lines = pools.map(({
		pool, waves, concurrency, headroom, moves, startsAt, endsAt,
	}) => `${pool}: ${waves} waves of ${concurrency}, head-room ${headroom}, ${moves} moves, ${formatTime(startsAt)} to ${formatTime(endsAt)} UTC`);
	return [
		...lines,
		...blocked.map(pool => `${pool}: blocked; it has no budget and no spare instance can join it`),
		`cost ${cost.total.toFixed(1)}: ${cost.bufferHours.toFixed(1)} instance-hours of buffer, ${cost.rollOutHours.toFixed(1)} hours, ${cost.moves} moves; ${late} instances late`,
	].join('\n');
}

/** `rosemaryquay plan`: has the daemon compute a plan without applying it, shows its cost, and saves it for `apply`. */
export class PlanCommand extends MaintenanceCommand {
	static override paths = [['plan']];
	static override usage = Command.Usage({
		description: 'Compute a maintenance plan without applying it, and show its cost',
		examples: [['Save the plan for apply', 'rosemaryquay plan --out plan.json']],
	});

	out = Option.String('--out', {description: 'File for the plan'});

	override async execute(): Promise<number> {
		const response = await this.call('POST', 'plan', {});
		if (response.status === 200 && this.out !== undefined) {
			const {plan, revision} = response.body;
			await writeFile(this.out, JSON.stringify({plan, revision}));
		}

		return this.printMaintenanceResponse(response, ({forecast}) => describeForecast(forecast as Forecast));
	}
}
