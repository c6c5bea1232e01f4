import {readFile} from 'node:fs/promises';
import {isDeepStrictEqual} from 'node:util';
import {Command, Option} from 'clipanion';
import {parse, stringify} from 'yaml';
import {parseCatalogue} from '@rosemaryquay/core/catalogue/parse-catalogue';
import {formatTable} from '../format-table.js';
import {OperatorCommand} from './operator-command.js';

type Sections = Record<string, Record<string, unknown>>;

type Change = {readonly section: string; readonly name: string; readonly kind: 'add' | 'change' | 'delete'; readonly value: unknown};

/** Order in which sections are written: each after the sections that its entries refer to. Entries are deleted in reverse order. */
const sectionOrder = ['organisations', 'zones', 'pools', 'services', 'teams', 'queues', 'operators'];

function listChanges(current: Sections, wanted: Sections): Change[] {
	const changes: Change[] = [];
	for (const section of sectionOrder) {
		for (const [name, value] of Object.entries(wanted[section] ?? {})) {
			const existing = current[section]?.[name];
			if (!isDeepStrictEqual(existing, value)) {
				changes.push({
					section, name, value, kind: existing === undefined ? 'add' : 'change',
				});
			}
		}
	}

	for (const section of sectionOrder.toReversed()) {
		for (const name of Object.keys(current[section] ?? {})) {
			if (wanted[section]?.[name] === undefined) {
				changes.push({
					section, name, value: null, kind: 'delete',
				});
			}
		}
	}

	return changes;
}

/** `rosemaryquay catalogue get [SECTION [NAME]]`: shows the catalogue in force or a part of it. */
export class CatalogueGetCommand extends OperatorCommand {
	static override paths = [['catalogue', 'get']];
	static override usage = Command.Usage({description: 'Show the catalogue in force, one section, or one entry'});
	section = Option.String({required: false});
	name = Option.String({required: false});

	override async execute(): Promise<number> {
		const {section, name} = this;
		if (section !== undefined && name !== undefined) {
			const response = await this.client.call({path: `/operator/catalogue/${section}/${name}`});
			return this.printResponse(response, body => [stringify(body.value).trimEnd()]);
		}

		const response = await this.client.call({path: '/operator/catalogue'});
		return this.printResponse(response, body => {
			const sections = body.catalogue as Sections;
			if (section === undefined) {
				return [`# revision ${String(body.revision)}`, stringify(sections).trimEnd()];
			}

			return formatTable(Object.entries(sections[section] ?? {}).map(([entry, value]) => ({name: entry, ...value as Record<string, unknown>})));
		});
	}
}

/** `rosemaryquay catalogue edit SECTION NAME --file FILE|--delete [--base REVISION]`: replaces or deletes one entry. */
export class CatalogueEditCommand extends OperatorCommand {
	static override paths = [['catalogue', 'edit']];
	static override usage = Command.Usage({
		description: 'Replace or delete one entry, unless it has changed since a given revision',
		examples: [['Raise a limit', 'rosemaryquay catalogue edit teams north --file north.yaml --base 41']],
	});

	section = Option.String();
	name = Option.String();
	file = Option.String('--file', {description: 'YAML file with the entry'});
	delete = Option.Boolean('--delete', false, {description: 'Delete the entry'});
	base = Option.String('--base', {description: 'Revision that the edit is based on; by default the one in force'});

	override async execute(): Promise<number> {
		if ((this.file === undefined) === !this.delete) {
			this.context.stderr.write('Give either --file or --delete\n');
			return 2;
		}

		const baseRevision = this.base === undefined ? {} : {baseRevision: Number(this.base)};
		const path = `/operator/catalogue/${this.section}/${this.name}`;
		const response = this.file === undefined
			? await this.client.call({method: 'DELETE', path, body: baseRevision})
			: await this.client.call({method: 'PUT', path, body: {value: parse(await readFile(this.file, 'utf8')) as unknown, ...baseRevision}});
		return this.printResponse(response, body => this.describeEdit(body));
	}
}

/** `rosemaryquay catalogue diff FILE` and `rosemaryquay catalogue apply FILE --yes`: compares a file with the catalogue in force, and applies it. */
export class CatalogueApplyCommand extends OperatorCommand {
	static override paths = [['catalogue', 'apply'], ['catalogue', 'diff']];
	static override usage = Command.Usage({
		description: 'Compare a catalogue file with the catalogue in force and, with --yes, apply the differences one by one',
		details: 'Without --yes nothing is changed. Each change is conditional on the revision before it, so that an edit of another operator stops the run.',
	});

	file = Option.String();
	yes = Option.Boolean('--yes', false, {description: 'Apply the differences'});

	override async execute(): Promise<number> {
		const parsed = parseCatalogue(parse(await readFile(this.file, 'utf8')));
		if (!parsed.ok) {
			for (const {path, value, expected} of parsed.problems) {
				this.context.stderr.write(`${this.file}: ${path}: found ${value}; ${expected}\n`);
			}

			return 4;
		}

		const current = await this.client.call({path: '/operator/catalogue'});
		if (current.status !== 200) {
			return this.printResponse(current, () => []);
		}

		const changes = listChanges(current.body.catalogue as Sections, parsed.catalogue);
		if (!this.yes || this.path[1] === 'diff') {
			return this.printResponse({status: 200, body: {revision: current.body.revision, changes}}, () => changes.map(({kind, section, name}) => `${kind} ${section}/${name}`));
		}

		let baseRevision = Number(current.body.revision);
		for (const {section, name, value, kind} of changes) {
			const response = await this.client.call({
				method: kind === 'delete' ? 'DELETE' : 'PUT', path: `/operator/catalogue/${section}/${name}`, body: {baseRevision, ...(kind !== 'delete' && {value})},
			});
			const exitCode = this.printResponse(response, body => [`${kind} ${section}/${name}: ${this.describeEdit(body).join('')}`]);
			if (response.status < 200 || response.status >= 300) {
				return exitCode;
			}

			baseRevision = Number(response.body.revision);
		}

		return 0;
	}
}
