/**
 * Validation of a whole catalogue: the schema first, then the references between entries.
 */
import {type Catalogue, catalogueSchema} from './schema.js';
import {listProblems, type Problem} from './list-problems.js';

/** A valid catalogue, or every problem found. */
export type ParsedCatalogue =
	| {readonly ok: true; readonly catalogue: Catalogue}
	| {readonly ok: false; readonly problems: readonly Problem[]};

function describeMissingReference(path: string, value: string, section: string): Problem {
	return {path, value: JSON.stringify(value), expected: `the name of an entry in ${section}`};
}

function listReferenceProblems(catalogue: Catalogue): Problem[] {
	const problems: Problem[] = [];
	const hashes = new Map<string, string>();
	for (const [name, team] of Object.entries(catalogue.teams)) {
		if (!Object.hasOwn(catalogue.organisations, team.organisation)) {
			problems.push(describeMissingReference(`teams.${name}.organisation`, team.organisation, 'organisations'));
		}

		for (const [keyName, key] of Object.entries(team.keys)) {
			const path = `teams.${name}.keys.${keyName}`;
			const other = hashes.get(key.hash);
			if (other !== undefined) {
				problems.push({path: `${path}.hash`, value: JSON.stringify(key.hash), expected: `a hash that ${other} does not have`});
			}

			hashes.set(key.hash, path);
		}
	}

	for (const [name, service] of Object.entries(catalogue.services)) {
		if (!Object.hasOwn(catalogue.pools, service.pool)) {
			problems.push(describeMissingReference(`services.${name}.pool`, service.pool, 'pools'));
		}
	}

	for (const [name, queue] of Object.entries(catalogue.queues)) {
		if (!Object.hasOwn(catalogue.services, queue.service)) {
			problems.push(describeMissingReference(`queues.${name}.service`, queue.service, 'services'));
		}

		if (queue.open && queue.team === undefined) {
			problems.push({path: `queues.${name}.team`, value: 'nothing', expected: 'the team that open work is accounted to'});
		}

		if (queue.team !== undefined && !Object.hasOwn(catalogue.teams, queue.team)) {
			problems.push(describeMissingReference(`queues.${name}.team`, queue.team, 'teams'));
		}
	}

	return problems;
}

/**
 * Validates a catalogue document.
 *
 * @param document - the parsed document, for example from YAML
 * @returns the catalogue with defaults filled in, or all problems
 * @example
 * const parsed = parseCatalogue({teams: {}});
 * if (!parsed.ok) {
 * 	for (const problem of parsed.problems) console.error(problem.path, problem.expected);
 * }
 */
export function parseCatalogue(document: unknown): ParsedCatalogue {
	const parsed = catalogueSchema.safeParse(document);
	if (!parsed.success) {
		return {ok: false, problems: listProblems(document, parsed.error.issues)};
	}

	const problems = listReferenceProblems(parsed.data);
	return problems.length === 0 ? {ok: true, catalogue: parsed.data} : {ok: false, problems};
}
