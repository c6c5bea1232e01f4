import {readFile} from 'node:fs/promises';
import {Option} from 'clipanion';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {describePlace} from '../describe-place.js';
import {describeWait} from '../describe-wait.js';
import {findLogLines} from '../find-log-lines.js';
import {formatLogLine} from '../format-log-line.js';
import {exitCodes, type CommandOutput, PlatformCommand} from '../platform-command.js';
import {readAdmissionRecord} from '../read-admission-record.js';
import {readJob} from '../read-job.js';
import {readScheduleState, type ReadResult} from '../read-schedule-state.js';
import {readView} from '../read-view.js';

/** `rosemaryquay-fleet explain ID`: shows why a job waits or was refused, from the store, or the lines about a request or job in the logs of several processes. */
export class ExplainCommand extends PlatformCommand {
	static override paths = [['explain']];
	static override usage = PlatformCommand.Usage({
		description: 'Show why a job waits, from the store, or the lines about a request or job in the logs of several processes, in order of time',
		details: 'With log files, the store is not read and --settings is not needed.',
		examples: [
			['Explain why a job waits', 'rosemaryquay-fleet explain 00000000000000a1 --settings boot.json'],
			['Explain a job by logs', 'rosemaryquay-fleet explain 00000000000000a1 entry-1.log entry-2.log'],
		],
	});

	override settings = Option.String('--settings', '', {description: 'Settings file of a process; needed without log files'});
	id = Option.String();
	files = Option.Rest();

	override async execute(): Promise<number> {
		if (this.files.length > 0) {
			return this.#explainByLogs();
		}

		if (this.settings === '') {
			this.context.stderr.write('Without log files, the store is read: name a settings file with --settings\n');
			return exitCodes.invalidInput;
		}

		return super.execute();
	}

	protected override async createOutput(platform: Platform): Promise<ReadResult<CommandOutput>> {
		const [state, record, published, admission] = await Promise.all([readScheduleState(platform), readJob(platform, this.id), readView(platform), readAdmissionRecord(platform)]);
		if (!state.ok) {
			return state;
		}

		if (!record.ok) {
			return record;
		}

		if (!published.ok) {
			return published;
		}

		const {configuration} = state.value.operatorState;
		if (configuration === undefined) {
			return createProblem('The store holds no valid configuration.');
		}

		if (record.value === undefined) {
			const problem = `There is no job ${this.id}: it was never accepted, or was refused. The log of the entry instance has the figures of a refusal (event 613).`;
			const figures = admission === undefined ? 'No admission record is in force, so at present no job is refused for load.' : `Admission record: ${JSON.stringify(admission)}`;
			return createProblem(problem, {figures: admission ?? null, lines: [figures]});
		}

		const reasons = describeWait(record.value, {configuration, utcMs: Date.now()});
		if ('state' in record.value) {
			return {ok: true, value: {value: {id: this.id, state: record.value.state, reasons}, lines: reasons}};
		}

		const {view, problem} = published.value;
		if (view === undefined) {
			return createProblem(problem, {reasons, lines: reasons});
		}

		const {lines, ...place} = describePlace(record.value.job, {view, configuration});
		return {ok: true, value: {value: {id: this.id, reasons: [...reasons, ...lines], ...place}, lines: [...reasons, ...lines]}};
	}

	async #explainByLogs(): Promise<number> {
		const texts: string[] = [];
		for (const file of this.files) {
			try {
				texts.push(await readFile(file, 'utf8'));
			} catch (error) {
				this.context.stderr.write(`${file}: ${(error as Error).message}\n`);
				return exitCodes.invalidInput;
			}
		}

		const {lines, unreadable} = findLogLines(texts, this.id);
		if (unreadable > 0) {
			this.context.stderr.write(`${unreadable} lines are not in the log format and were skipped\n`);
		}

		this.context.stdout.write(this.json ? `${JSON.stringify({id: this.id, lines, unreadable})}\n` : lines.map(line => `${formatLogLine(line)}\n`).join(''));
		if (lines.length === 0) {
			this.context.stderr.write(`No log line names ${this.id}\n`);
			return exitCodes.notFound;
		}

		return 0;
	}
}

/** Output of a command that can't show what it was asked for, with what is known nevertheless. */
function createProblem(problem: string, {lines = [], ...known}: {readonly [field: string]: unknown; readonly lines?: readonly string[]} = {}): ReadResult<CommandOutput> {
	return {ok: true, value: {value: {problem, ...known}, lines: [problem, ...lines], exitCode: exitCodes.notFound}};
}
