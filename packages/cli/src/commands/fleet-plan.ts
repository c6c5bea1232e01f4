import {writeFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {FleetCommand} from '../fleet-command.js';

type Forecast = {
	readonly pools: ReadonlyArray<{readonly pool: string; readonly waves: number; readonly concurrency: number; readonly headroom: number; readonly moves: number; readonly startsAt: number; readonly endsAt: number}>;
	readonly blocked: readonly string[];
	readonly late: number;
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

/** `rosemaryquay plan`: shows a plan and its cost, and saves it for `apply`. */
export class FleetPlanCommand extends FleetCommand {
	static override paths = [['plan']];
	static override usage = Command.Usage({
		description: 'Show a maintenance plan and its cost',
		examples: [['Save the plan for apply', 'rosemaryquay plan --out plan.json']],
	});

	out = Option.String('--out', {description: 'File for the plan'});

	override async execute(): Promise<number> {
		const response = await this.call('POST', 'plan', {});
		if (response.status === 200 && this.out !== undefined) {
			const {plan, revision} = response.body;
			await writeFile(this.out, JSON.stringify({plan, revision}));
		}

		return this.printFleetResponse(response, ({forecast}) => describeForecast(forecast as Forecast));
	}
}
