import {readFile} from 'node:fs/promises';
import {isDeepStrictEqual} from 'node:util';
import {Command, Option} from 'clipanion';
import {parse, stringify} from 'yaml';
import {parseCatalogue} from '@rosemaryquay/core/catalogue/parse-catalogue';
import {formatTable} from '../format-table.js';
import {OperatorCommand} from './operator-command.js';

type Sections = Record<string, Record<string, unknown>>;

type Change = {readonly section: string; readonly name: string; readonly kind: 'add' | 'change' | 'delete'; readonly value: unknown};

/** Sections that others refer to come first, and are deleted last. */
const sectionOrder = ['organisations', 'zones', 'pools', 'services', 'teams', 'queues', 'operators'];

function listChanges(current: Sections, wanted: Sections): Change[] {
	const changes: Change[] = [];
	for (const section of sectionOrder) {
		for (const [name, value] of Object.entries(wanted[section] ?? {})) {
			const known = current[section]?.[name];
			if (!isDeepStrictEqual(known, value)) {
				changes.push({
					section, name, value, kind: known === undefined ? 'add' : 'change',
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

/** `rosemaryquay catalogue get [SECTION [NAME]]` */
export class CatalogueGetCommand extends OperatorCommand {
	static override paths = [['catalogue', 'get']];
	static override usage = Command.Usage({description: 'Show the catalogue in force, one section, or one entry'});
	section = Option.String({required: false});
	name = Option.String({required: false});

	override async execute(): Promise<number> {
		const {section, name} = this;
		if (section !== undefined && name !== undefined) {
			const answer = await this.client.call({path: `/operator/catalogue/${section}/${name}`});
			return this.finish(answer, body => [stringify(body.value).trimEnd()]);
		}

		const answer = await this.client.call({path: '/operator/catalogue'});
		return this.finish(answer, body => {
			const sections = body.catalogue as Sections;
			if (section === undefined) {
				return [`# revision ${String(body.revision)}`, stringify(sections).trimEnd()];
			}

			return formatTable(Object.entries(sections[section] ?? {}).map(([entry, value]) => ({name: entry, ...value as Record<string, unknown>})));
		});
	}
}

/** `rosemaryquay catalogue edit SECTION NAME --value YAML --base REVISION` */
export class CatalogueEditCommand extends OperatorCommand {
	static override paths = [['catalogue', 'edit']];
	static override usage = Command.Usage({
		description: 'Replace or delete one entry, on the condition that it has not changed since a revision',
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
		const answer = this.file === undefined
			? await this.client.call({method: 'DELETE', path, body: baseRevision})
			: await this.client.call({method: 'PUT', path, body: {value: parse(await readFile(this.file, 'utf8')) as unknown, ...baseRevision}});
		return this.finish(answer, body => this.describeEdit(body));
	}
}

/** `rosemaryquay catalogue diff FILE` and `rosemaryquay catalogue apply FILE --yes` */
export class CatalogueApplyCommand extends OperatorCommand {
	static override paths = [['catalogue', 'apply'], ['catalogue', 'diff']];
	static override usage = Command.Usage({
		description: 'Compare a catalogue file with the catalogue in force and, with --yes, make the changes one by one',
		details: 'Without --yes nothing is changed. Each change is conditional on the revision before it, so that an edit of another operator stops the run.',
	});

	file = Option.String();
	yes = Option.Boolean('--yes', false, {description: 'Make the changes'});

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
			return this.finish(current, () => []);
		}

		const changes = listChanges(current.body.catalogue as Sections, parsed.catalogue);
		if (!this.yes || this.path[1] === 'diff') {
			return this.finish({status: 200, body: {revision: current.body.revision, changes}}, () => changes.map(({kind, section, name}) => `${kind} ${section}/${name}`));
		}

		let baseRevision = Number(current.body.revision);
		for (const {section, name, value, kind} of changes) {
			const answer = await this.client.call({
				method: kind === 'delete' ? 'DELETE' : 'PUT', path: `/operator/catalogue/${section}/${name}`, body: {baseRevision, ...(kind !== 'delete' && {value})},
			});
			const code = this.finish(answer, body => [`${kind} ${section}/${name}: ${this.describeEdit(body).join('')}`]);
			if (answer.status < 200 || answer.status >= 300) {
				return code;
			}

			baseRevision = Number(answer.body.revision);
		}

		return 0;
	}
}
