/**
 * Readable validation problems of a document.
 */
import {type z} from 'zod';

/** One fault in a document. */
export type Problem = {
	readonly path: string;
	/** The value found, shortened. */
	readonly value: string;
	/** What was expected, as a complete message. */
	readonly expected: string;
};

const maximumValueLength = 80;

function valueAt(document: unknown, path: readonly PropertyKey[]): unknown {
	let value = document;
	for (const part of path) {
		if (typeof value !== 'object' || value === null) {
			return undefined;
		}

		value = (value as Record<PropertyKey, unknown>)[part];
	}

	return value;
}

function describeValue(value: unknown): string {
	const text = value === undefined ? 'nothing' : JSON.stringify(value);
	return text.length > maximumValueLength ? `${text.slice(0, maximumValueLength)}…` : text;
}

/**
 * Converts the issues of a schema to problems, one for each path.
 *
 * @param document - the parsed document
 * @param issues - the issues that the schema reported
 * @returns the problems in document order
 * @example
 * const parsed = catalogueSchema.safeParse(document);
 * const problems = parsed.success ? [] : listProblems(document, parsed.error.issues);
 */
export function listProblems(document: unknown, issues: readonly z.core.$ZodIssue[]): Problem[] {
	const problems: Problem[] = [];
	for (const issue of issues) {
		if (issue.code === 'unrecognized_keys') {
			for (const key of issue.keys) {
				const path = [...issue.path, key];
				problems.push({path: path.join('.'), value: describeValue(valueAt(document, path)), expected: 'no such key'});
			}

			continue;
		}

		problems.push({path: issue.path.join('.'), value: describeValue(valueAt(document, issue.path)), expected: issue.message});
	}

	return problems;
}
