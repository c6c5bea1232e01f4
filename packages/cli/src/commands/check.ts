import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {parseDocument} from 'yaml';
import {parseCatalogue} from '@rosemaryquay/core/catalogue/parse-catalogue';
import {type Problem} from '@rosemaryquay/core/catalogue/list-problems';
import {parseSettings} from '@rosemaryquay/core/settings/parse-settings';

type CheckResult = {readonly kind: 'settings' | 'catalogue'; readonly problems: readonly Problem[]};

function checkText(text: string): CheckResult {
	const yaml = parseDocument(text);
	if (yaml.errors.length > 0) {
		return {kind: 'catalogue', problems: yaml.errors.map(error => ({path: '', value: 'YAML', expected: error.message}))};
	}

	const document: unknown = yaml.toJS();
	if (typeof document !== 'object' || document === null) {
		return {kind: 'catalogue', problems: [{path: '', value: JSON.stringify(document), expected: 'a mapping'}]};
	}

	// Only settings files have these keys; a catalogue has neither.
	if ('instance' in document || 'store' in document) {
		const parsed = parseSettings(text);
		return {kind: 'settings', problems: parsed.ok ? [] : parsed.problems};
	}

	const parsed = parseCatalogue(document);
	return {kind: 'catalogue', problems: parsed.ok ? [] : parsed.problems};
}

/** `rosemaryquay check FILE…`: validates settings and catalogue files offline. */
export class CheckCommand extends Command {
	static override paths = [['check']];
	static override usage = Command.Usage({
		description: 'Validate settings and catalogue files',
		examples: [['Check a settings file and a catalogue', 'rosemaryquay check daemon.yaml catalogue.yaml']],
	});

	json = Option.Boolean('--json', false, {description: 'Print one JSON object'});
	files = Option.Rest({required: 1});

	override async execute(): Promise<number> {
		const results: Array<{file: string} & CheckResult> = [];
		for (const file of this.files) {
			let text: string;
			try {
				text = await readFile(file, 'utf8');
			} catch (error) {
				const expected = error instanceof Error ? error.message : 'a readable file';
				results.push({file, kind: 'catalogue', problems: [{path: '', value: file, expected}]});
				continue;
			}

			results.push({file, ...checkText(text)});
		}

		this.#print(results);
		return results.some(result => result.problems.length > 0) ? 1 : 0;
	}

	#print(results: ReadonlyArray<{file: string} & CheckResult>): void {
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify({files: results})}\n`);
			return;
		}

		for (const {file, kind, problems} of results) {
			if (problems.length === 0) {
				this.context.stdout.write(`${file}: valid ${kind}\n`);
			}

			for (const {path, value, expected} of problems) {
				this.context.stderr.write(`${file}: ${path === '' ? '(top level)' : path}: found ${value}; ${expected}\n`);
			}
		}
	}
}
