import {isMap, LineCounter, parseDocument} from 'yaml';
import {checkConfiguration} from '@rosemaryquay/core/jobs/configuration/check-configuration';
import {type Finding, type Path} from '@rosemaryquay/core/jobs/configuration/finding';
import {type ParsedConfiguration} from '@rosemaryquay/core/jobs/configuration/parsed-configuration';
import {type Configuration, configurationSchema} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {type WaveRequest} from '@rosemaryquay/core/jobs/state/instance';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type ListedWorker} from '@rosemaryquay/core/jobs/state/scheduler';
import {type ConfigurationFormat} from './fleet-cli-context.js';

/** A finding with its line in the file, from 1. */
export type LocatedFinding = Finding & {readonly line: number};

export type CheckedConfiguration = {readonly configuration: Configuration | undefined; readonly findings: readonly LocatedFinding[]};

/** Field that tells the project's own format of a configuration from other files. */
const ownFormatField = 'queues';

/**
 * Checks the text of a configuration, in the project's own format or in that of the platform, as JSON or YAML.
 *
 * @param text - content of the file
 * @param options - the platform's format, and what the store holds at present, where it is known
 * @returns the configuration if it is valid, and what was found; undefined if the file holds no configuration
 * @example
 * checkConfigurationFile(text, {format});
 */
export function checkConfigurationFile(text: string, options: {format: ConfigurationFormat; workers?: readonly ListedWorker[] | undefined; jobs?: readonly Job[] | undefined; waves?: readonly WaveRequest[] | undefined}): CheckedConfiguration | undefined {
	const {format, workers, jobs, waves} = options;
	const lineCounter = new LineCounter();
	const document = parseDocument(text, {lineCounter});
	if (document.errors.length > 0) {
		return {
			configuration: undefined, findings: document.errors.map(({message, linePos}) => ({
				level: 'error', path: [], problem: message.split('\n')[0] ?? message, line: linePos?.[0].line ?? 1,
			})),
		};
	}

	const isOwnFormat = document.has(ownFormatField);
	if (!isMap(document.contents) || !(isOwnFormat || document.has(format.translatePath([ownFormatField])[0]))) {
		return undefined;
	}

	const findLine = (path: Path): number => {
		for (let {length} = path; length > 0; length--) {
			const node = document.getIn(path.slice(0, length), true) as {range?: [number]} | undefined;
			if (node?.range !== undefined) {
				return lineCounter.linePos(node.range[0]).line;
			}
		}

		return 1;
	};

	const parsed = isOwnFormat ? parseOwnFormat(document.toJS()) : format.parse(document.toJS());
	if (!parsed.ok) {
		return {configuration: undefined, findings: parsed.findings.map(finding => ({...finding, line: findLine(finding.path)}))};
	}

	const findings = checkConfiguration(parsed.configuration, {...(workers !== undefined && {workers}), ...(jobs !== undefined && {jobs}), ...(waves !== undefined && {waves})});
	return {
		configuration: parsed.configuration,
		findings: findings.map(finding => {
			const path = isOwnFormat ? finding.path : format.translatePath(finding.path);
			return {...finding, path, line: findLine(path)};
		}),
	};
}

function parseOwnFormat(value: unknown): ParsedConfiguration {
	const decoded = configurationSchema.safeParse(value);
	return decoded.success
		? {ok: true, configuration: decoded.data}
		: {ok: false, findings: decoded.error.issues.map(({path, message}) => ({level: 'error', path: path.map(part => typeof part === 'symbol' ? part.toString() : part), problem: message}))};
}
