import {parseDocument} from 'yaml';
import {listProblems, type Problem} from '../catalogue/list-problems.js';
import {type Settings, settingsSchema} from './schema.js';

/** Valid settings, or every problem found. */
export type ParsedSettings =
	| {readonly ok: true; readonly settings: Settings}
	| {readonly ok: false; readonly problems: readonly Problem[]};

/**
 * Parses and validates a settings file.
 *
 * @param text - the YAML text
 * @returns the settings with defaults filled in, or all problems
 * @example
 * const parsed = parseSettings(await readFile('daemon.yaml', 'utf8'));
 */
export function parseSettings(text: string): ParsedSettings {
	const yaml = parseDocument(text);
	if (yaml.errors.length > 0) {
		return {ok: false, problems: yaml.errors.map(error => ({path: '', value: 'YAML', expected: error.message}))};
	}

	const document: unknown = yaml.toJS();
	const parsed = settingsSchema.safeParse(document);
	return parsed.success ? {ok: true, settings: parsed.data} : {ok: false, problems: listProblems(document, parsed.error.issues)};
}
