import {Option} from 'clipanion';
import {type EndedJob} from '@rosemaryquay/core/jobs/state/job-schema';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {type UnfinishedJob} from '@rosemaryquay/daemon/jobs/decode-unfinished-jobs';
import {describeWait} from '../describe-wait.js';
import {formatSection} from '../format-section.js';
import {exitCodes, type CommandOutput, PlatformCommand} from '../platform-command.js';
import {readScheduleState, type ReadResult} from '../read-schedule-state.js';
import {readJob} from '../read-job.js';
import {readUnfinishedJobs} from '../read-unfinished-jobs.js';

const defaultLimit = 50;

/** `rosemaryquay-fleet jobs`: lists the jobs that have not ended, oldest first. */
export class JobsCommand extends PlatformCommand {
	static override paths = [['jobs']];
	static override usage = PlatformCommand.Usage({description: 'List the jobs that have not ended, oldest first'});

	queue = Option.String('--queue', {description: 'Only jobs of this queue'});
	limit = Option.String('--limit', String(defaultLimit), {description: 'Maximum number of jobs that are shown'});

	protected override async createOutput(platform: Platform): Promise<ReadResult<CommandOutput>> {
		const jobs = await readUnfinishedJobs(platform);
		if (!jobs.ok) {
			return jobs;
		}

		const rows = jobs.value
			.filter(({job}) => this.queue === undefined || job.queue === this.queue)
			.toSorted((left, right) => left.job.acceptedAtMs - right.job.acceptedAtMs)
			.map(record => createJobRow(record, Date.now()));
		const shown = rows.slice(0, Number(this.limit) || defaultLimit);
		// The first line takes the place of the heading of the section.
		const lines = [`Jobs that have not ended: ${rows.length}, shown ${shown.length}`, ...formatSection('Jobs', shown).slice(1)];
		return {ok: true, value: {value: {open: rows.length, jobs: shown}, lines}};
	}
}

function createJobRow({job, progress, cancelled}: UnfinishedJob, utcMs: number) {
	// A job without repetition (repeatCount 0) has one occurrence.
	const tasks = job.steps.reduce((sum, {count}) => sum + count, 0) * Math.max(1, job.repeatCount);
	const done = Object.values(progress?.done ?? {}).reduce((sum, positions) => sum + positions.length, 0);
	return {
		job: job.id, queue: job.queue, organisation: job.organisation, ageSeconds: Math.round((utcMs - job.acceptedAtMs) / 1000), done: `${done}/${tasks}`, cancelled,
	};
}

function createEndedJobRow({id, queue, organisation, state, endedAtMs}: EndedJob & {readonly id: string}) {
	return {
		job: id, queue, organisation, state, endedAt: new Date(endedAtMs).toISOString(),
	};
}

/** `rosemaryquay-fleet job ID`: shows a job and what it waits for. */
export class JobCommand extends PlatformCommand {
	static override paths = [['job']];
	static override usage = PlatformCommand.Usage({description: 'Show a job and what it waits for'});

	id = Option.String();

	protected override async createOutput(platform: Platform): Promise<ReadResult<CommandOutput>> {
		const [state, record] = await Promise.all([readScheduleState(platform), readJob(platform, this.id)]);
		if (!state.ok) {
			return state;
		}

		if (!record.ok) {
			return record;
		}

		const {configuration} = state.value.operatorState;
		if (record.value === undefined || configuration === undefined) {
			const problem = configuration === undefined ? 'The store holds no valid configuration.' : `There is no job ${this.id}.`;
			return {ok: true, value: {value: {problem}, lines: [problem], exitCode: exitCodes.notFound}};
		}

		const utcMs = Date.now();
		const row = 'state' in record.value ? createEndedJobRow(record.value) : createJobRow(record.value, utcMs);
		const reasons = describeWait(record.value, {configuration, utcMs});
		return {ok: true, value: {value: {...row, reasons}, lines: [...formatSection('Job', [row]).slice(1), ...reasons]}};
	}
}
