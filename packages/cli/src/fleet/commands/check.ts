import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {compareConfigurations, type Difference} from '@rosemaryquay/core/jobs/configuration/compare-configurations';
import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type WaveRequest} from '@rosemaryquay/core/jobs/state/instance';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';
import {checkConfigurationFile, type LocatedFinding} from '../check-configuration-file.js';
import {type FleetCliContext} from '../fleet-cli-context.js';
import {exitCodes} from '../platform-command.js';
import {type ReadResult, readScheduleState} from '../read-schedule-state.js';
import {readUnfinishedJobs} from '../read-unfinished-jobs.js';

/** What the store holds at present. */
type Surroundings = {readonly configuration: Configuration | undefined; readonly workers: readonly ListedWorker[]; readonly jobs: readonly Job[]; readonly waves: readonly WaveRequest[]};

type CheckedFile = {readonly file: string; readonly problems: readonly string[]; readonly findings?: readonly LocatedFinding[]; readonly differences?: readonly Difference[]};

/** `rosemaryquay-fleet check FILE…`: validates settings files and configurations before they are used, and lists all their problems. */
export class CheckCommand extends Command<FleetCliContext> {
	static override paths = [['check']];
	static override usage = Command.Usage({
		description: 'Validate settings files of processes, and configurations before they are sent',
		details: 'A configuration is read in the project\'s own format or in that of the platform, as JSON or YAML. With --settings it is also compared with the one in force, and with the workers, unfinished jobs and open waves that the store holds.',
	});

	settings = Option.String('--settings', {description: 'Settings file of a process; compares configurations with what its store holds'});
	json = Option.Boolean('--json', false, {description: 'Print one JSON object'});
	files = Option.Rest({required: 1});

	override async execute(): Promise<number> {
		const surroundings = await this.#readSurroundings();
		if (typeof surroundings === 'number') {
			return surroundings;
		}

		const results: CheckedFile[] = [];
		for (const file of this.files) {
			try {
				results.push(this.#checkFile(file, await readFile(file, 'utf8'), surroundings));
			} catch (error) {
				results.push({file, problems: [(error as Error).message]});
			}
		}

		this.context.stdout.write(this.json ? `${JSON.stringify({files: results})}\n` : results.flatMap(result => formatResult(result)).map(line => `${line}\n`).join(''));
		return results.some(({problems}) => problems.length > 0) ? exitCodes.invalidInput : 0;
	}

	#checkFile(file: string, text: string, surroundings: Surroundings | undefined): CheckedFile {
		const checked = checkConfigurationFile(text, {
			format: this.context.configurationFormat, workers: surroundings?.workers, jobs: surroundings?.jobs, waves: surroundings?.waves,
		});
		if (checked === undefined) {
			const decoded = this.context.decodeSettings(text);
			return {file, problems: decoded.ok ? [] : decoded.problems};
		}

		const {configuration, findings} = checked;
		const problems = findings.filter(({level}) => level === 'error').map(({problem}) => problem);
		if (configuration === undefined || surroundings?.configuration === undefined) {
			return {file, problems, findings};
		}

		if (configuration.version <= surroundings.configuration.version) {
			problems.push(`version ${configuration.version} is not above version ${surroundings.configuration.version}, which is in force`);
		}

		return {
			file, problems, findings, differences: compareConfigurations(surroundings.configuration, configuration, surroundings.jobs),
		};
	}

	/** Reads what the store holds if `--settings` names a settings file; returns an exit code if that fails. */
	async #readSurroundings(): Promise<Surroundings | undefined | number> {
		if (this.settings === undefined) {
			return undefined;
		}

		const text = await readFile(this.settings, 'utf8').catch((error: unknown) => error as Error);
		const decoded = typeof text === 'string' ? this.context.decodeSettings(text) : {ok: false as const, problems: [text.message]};
		if (!decoded.ok) {
			this.context.stderr.write(decoded.problems.map(problem => `${this.settings}: ${problem}\n`).join(''));
			return exitCodes.invalidInput;
		}

		const platform = decoded.openPlatform();
		try {
			const surroundings = await readFromStore(platform);
			if (surroundings.ok) {
				return surroundings.value;
			}

			this.context.stderr.write(`The store could not be read: ${surroundings.detail}\n`);
			return exitCodes.storeUnavailable;
		} finally {
			await platform.close();
		}
	}
}

async function readFromStore(platform: Platform): Promise<ReadResult<Surroundings>> {
	const {registrationFormat, operatorFormat, store} = platform;
	const [state, jobs, registrations, statuses] = await Promise.all([
		readScheduleState(platform), readUnfinishedJobs(platform), store.list(registrationFormat.prefix), store.list(operatorFormat.waveStatusPrefix),
	]);
	if (!state.ok) {
		return state;
	}

	if (!jobs.ok) {
		return jobs;
	}

	if (!registrations.ok) {
		return {ok: false, detail: registrations.detail ?? registrations.reason};
	}

	if (!statuses.ok) {
		return {ok: false, detail: statuses.detail ?? statuses.reason};
	}

	const completed = new Set(statuses.value.entries.map(entry => operatorFormat.decodeCompletedWave(entry)));
	return {
		ok: true,
		value: {
			configuration: state.value.operatorState.configuration,
			workers: registrations.value.entries.map(entry => registrationFormat.decode(entry)).filter(worker => worker !== undefined),
			jobs: jobs.value.filter(({cancelled}) => !cancelled).map(({job}) => job),
			waves: state.value.operatorState.waves.filter(({number}) => !completed.has(number)),
		},
	};
}

function formatResult({file, problems, findings, differences}: CheckedFile): string[] {
	const lines = findings === undefined
		? problems.map(problem => `${file}: ${problem}`)
		: findings.map(({line, level, path, problem}) => `${file}:${line}: ${level}: ${path.join('.')}: ${problem}`);
	lines.push(
		// The comparison of versions has no place in the file.
		...problems.filter(problem => findings !== undefined && !findings.some(finding => finding.problem === problem)).map(problem => `${file}: error: ${problem}`),
		...(differences ?? []).map(difference => `${file}: ${formatDifference(difference)}`),
	);
	return problems.length === 0 ? [...lines, `${file}: valid`] : lines;
}

function formatDifference({list, name, change, fields, queues, organisations, unfinishedJobs}: Difference): string {
	return `${change} in ${list}: ${name}${change === 'changed' ? ` (${formatFields(fields)})` : ''}, affects queues ${queues.join(' ') || 'none'}, organisations ${organisations.join(' ') || 'none'}, ${unfinishedJobs} unfinished jobs`;
}

function formatFields(fields: Difference['fields']): string {
	return Object.entries(fields).map(([field, {before, after}]) => `${field}: ${JSON.stringify(before)} to ${JSON.stringify(after)}`).join(', ');
}
